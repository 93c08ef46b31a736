/// The platform's object store over HTTP.
#pragma once

#include <chrono>
#include <string>

#include "http/http_client.h"
#include "store/object_client.h"

namespace quetzalvale {

/// Thread-safe.
class HttpObjectClient : public ObjectClient {
 public:
  HttpObjectClient(const std::string& url, std::chrono::milliseconds timeout);

  void PutAsync(std::string_view name, std::string bytes,
                std::function<void(PutResult)> done) override;
  void GetAsync(std::string_view name, std::function<void(GetResult)> done) override;

 private:
  HttpClient client;
};

}  // namespace quetzalvale
