#include "entry/status_json.h"

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

Json::Value RenderAgent(const AgentStatus& agent) {
  Json::Value json;
  json["name"] = agent.name;
  json["incarnation"] = agent.incarnation.Text();
  json["address"] = agent.address;
  json["outstanding"] = static_cast<Json::UInt64>(agent.outstanding);
  json["leaving"] = agent.leaving;
  json["ejected"] = agent.ejected;
  json["lost"] = agent.lost;
  json["member"] = agent.member;
  json["evacuated"] = agent.evacuated;
  json["configuration_version"] = static_cast<Json::UInt64>(agent.configuration_version);
  return json;
}

Json::Value RenderPeerVersions(const std::map<Incarnation, std::uint64_t>& versions) {
  Json::Value list(Json::arrayValue);
  for (const auto& [peer, version] : versions) {
    Json::Value json;
    json["incarnation"] = peer.Text();
    json["configuration_version"] = static_cast<Json::UInt64>(version);
    list.append(std::move(json));
  }
  return list;
}

Json::Value RenderService(const ServiceStatus& service) {
  Json::Value json;
  json["service"] = service.service;
  json["configuration_version"] = static_cast<Json::UInt64>(service.configuration_version);
  json["queued_tasks"] = static_cast<Json::UInt64>(service.queued_tasks);
  json["jobs_in_progress"] = static_cast<Json::UInt64>(service.jobs_in_progress);
  json["agents"] = Json::Value(Json::arrayValue);
  for (const auto& agent : service.agents) {
    json["agents"].append(RenderAgent(agent));
  }
  json["peers"] = RenderPeerVersions(service.peer_versions);
  return json;
}

}  // namespace

Json::Value RenderStatus(const std::string& name, const EntryStatus& status) {
  Json::Value json;
  json["name"] = name;
  json["entry"] = Encode(status.self);
  json["leaving"] = status.leaving;
  json["roster_number"] = static_cast<Json::UInt64>(status.roster_number);
  json["services"] = Json::Value(Json::arrayValue);
  for (const auto& service : status.services) {
    json["services"].append(RenderService(service));
  }
  json["evacuations"] = Encode(status.evacuations);
  json["peers"] = Encode(status.peers);
  return json;
}

}  // namespace quetzalvale
