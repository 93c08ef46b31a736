/// Interface to the platform's object store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "store/table_client.h"

namespace quetzalvale {

/// Implementations are thread-safe. Callbacks run on any thread, exactly once.
class ObjectClient {
 public:
  using PutResult = PlatformResult<std::monostate>;
  /// Nothing when there is no such object.
  using GetResult = PlatformResult<std::optional<std::string>>;

  virtual ~ObjectClient() = default;

  virtual void PutAsync(std::string_view name, std::string bytes,
                        std::function<void(PutResult)> done) = 0;
  virtual void GetAsync(std::string_view name, std::function<void(GetResult)> done) = 0;

  // These wait for the result. Not for use on callback threads.
  PutResult Put(std::string_view name, std::string bytes);
  GetResult Get(std::string_view name);
};

}  // namespace quetzalvale
