/// Newest configuration of each service that this process knows.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/service_configuration.h"
#include "store/configuration_store.h"

namespace quetzalvale {

/// Versions only rise. Thread-safe.
class ConfigurationBook {
 public:
  using Changed = std::function<void(std::shared_ptr<const ServiceConfiguration>)>;

  /// `changed` is told every newer configuration, on the thread that offers it.
  ConfigurationBook(std::vector<std::string> services, Changed changed);

  /// Takes the document if it is newer and valid. `source` is where it comes from, for the log.
  void Offer(const std::string& service, const StoredDocument& stored, const std::string& source);

  /// Returns nothing while no document is known, or when the service is not this entry's.
  std::optional<StoredDocument> Document(const std::string& service) const;

  /// Returns nullptr while no document is known.
  std::shared_ptr<const ServiceConfiguration> Configuration(const std::string& service) const;

  bool IsServed(const std::string& service) const;

  /// Returns whether every service has a configuration.
  bool IsComplete() const;

  /// Largest body that any service allows.
  std::uint64_t MaxBodyBytes() const;

  const std::vector<std::string>& Services() const { return this->services; }

 private:
  struct Known {
    StoredDocument stored;
    std::shared_ptr<const ServiceConfiguration> configuration;
    /// Newest version that was not valid, so that it is reported once.
    std::uint64_t refused_version = 0;
  };

  std::vector<std::string> services;
  Changed changed;
  mutable std::mutex mutex;
  std::map<std::string, Known> known;
};

}  // namespace quetzalvale
