#include "entry/configuration_book.h"

#include <algorithm>
#include <utility>

#include "runtime/log.h"
#include "settings/service_document.h"

namespace quetzalvale {

ConfigurationBook::ConfigurationBook(std::vector<std::string> services, Changed changed)
    : services(std::move(services)), changed(std::move(changed)) {
  for (const auto& service : this->services) {
    this->known[service];
  }
}

void ConfigurationBook::Offer(const std::string& service, const StoredDocument& stored,
                              const std::string& source) {
  // Held while telling, so that versions arrive in order.
  const std::lock_guard lock(this->mutex);
  const auto found = this->known.try_emplace(service).first;
  if (stored.version <= found->second.stored.version ||
      stored.version == found->second.refused_version) {
    return;
  }
  const std::string details =
      "service=" + service + " version=" + std::to_string(stored.version) + " source=" + source;
  auto decoded = DecodeServiceDocument(stored.document, source);
  if (!IsOk(decoded) || std::get<0>(decoded).service != service) {
    found->second.refused_version = stored.version;
    Log(LogLevel::kError, 3010, "configuration_refused",
        details +
            " reason=" + (IsOk(decoded) ? "it names another service" : GetError(decoded).message));
    return;
  }
  auto configuration =
      std::make_shared<ServiceConfiguration>(std::get<ServiceConfiguration>(std::move(decoded)));
  configuration->version = stored.version;
  found->second.stored = stored;
  found->second.configuration = configuration;
  Log(LogLevel::kInfo, 3011, "configuration_in_force", details);
  this->changed(std::move(configuration));
}

std::optional<StoredDocument> ConfigurationBook::Document(const std::string& service) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->known.find(service);
  if (found == this->known.end() || found->second.stored.version == 0) {
    return std::nullopt;
  }
  return found->second.stored;
}

std::shared_ptr<const ServiceConfiguration> ConfigurationBook::Configuration(
    const std::string& service) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->known.find(service);
  return found == this->known.end() ? nullptr : found->second.configuration;
}

bool ConfigurationBook::IsServed(const std::string& service) const {
  return std::find(this->services.begin(), this->services.end(), service) != this->services.end();
}

bool ConfigurationBook::IsComplete() const {
  const std::lock_guard lock(this->mutex);
  return std::all_of(this->known.begin(), this->known.end(),
                     [](const auto& item) { return item.second.stored.version > 0; });
}

std::uint64_t ConfigurationBook::MaxBodyBytes() const {
  const std::lock_guard lock(this->mutex);
  std::uint64_t largest = ServiceConfiguration().limits.body_bytes;
  for (const auto& [service, item] : this->known) {
    if (item.configuration) {
      largest = std::max(largest, item.configuration->limits.body_bytes);
    }
  }
  return largest;
}

}  // namespace quetzalvale
