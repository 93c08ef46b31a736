#include "core/entry/service_state.h"

#include <utility>

namespace quetzalvale {

ServiceState::ServiceState(std::string name, const Incarnation& owner)
    : name(std::move(name)),
      configuration(std::make_shared<ServiceConfiguration>()),
      ledger(this->name, owner),
      health(configuration->health.eject_after, configuration->health.probe_after),
      retry_budget(configuration->retry_share),
      placement(MakePlacement(configuration->placement)) {}

bool ServiceState::Apply(std::shared_ptr<const ServiceConfiguration> newer) {
  if (newer->version <= this->configuration->version) {
    return false;
  }
  if (newer->placement != this->configuration->placement) {
    this->placement = MakePlacement(newer->placement);
  }
  for (const TeamConfiguration& team : this->configuration->teams) {
    if (newer->FindTeam(team.name) == nullptr) {
      this->quotas.SetQuota(team.name, 0);
    }
  }
  this->configuration = std::move(newer);
  std::erase_if(this->team_arrivals, [this](const auto& element) {
    return !element.first.empty() && this->configuration->FindTeam(element.first) == nullptr;
  });
  this->ledger.SetLimits(this->configuration->tickets);
  this->health.SetLimits(this->configuration->health.eject_after,
                         this->configuration->health.probe_after);
  this->retry_budget.SetShare(this->configuration->retry_share);
  for (const KindConfiguration& kind : this->configuration->kinds) {
    this->model.SetPrior(kind.name, kind.expected, kind.honest_sizes);
  }
  for (const TeamConfiguration& team : this->configuration->teams) {
    this->quotas.SetQuota(team.name, team.tasks_per_second);
  }
  this->members_changed = true;
  return true;
}

void ServiceState::SetEndpoint(const std::string& agent, std::uint64_t incarnation) {
  const auto known = this->endpoints.find(agent);
  if (known != this->endpoints.end() && known->second != incarnation) {
    this->ForgetEndpoint(agent);
  }
  if (incarnation != 0) {
    this->endpoints[agent] = incarnation;
  }
}

void ServiceState::ForgetEndpoint(const std::string& agent) {
  this->health.Forget(agent);
  this->model.Forget(agent);
  this->endpoints.erase(agent);
}

}  // namespace quetzalvale
