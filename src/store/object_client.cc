#include "store/object_client.h"

#include "store/await.h"

namespace quetzalvale {

ObjectClient::PutResult ObjectClient::Put(std::string_view name, std::string bytes) {
  return Await<PutResult>(
      [&](auto done) { this->PutAsync(name, std::move(bytes), std::move(done)); });
}

ObjectClient::GetResult ObjectClient::Get(std::string_view name) {
  return Await<GetResult>([&](auto done) { this->GetAsync(name, std::move(done)); });
}

}  // namespace quetzalvale
