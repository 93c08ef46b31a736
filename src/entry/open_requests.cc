#include "entry/open_requests.h"

#include <utility>

namespace quetzalvale {

void OpenRequests::Add(std::uint64_t id, HttpResponder responder) {
  const std::lock_guard lock(this->mutex);
  this->open[id] = std::move(responder);
}

bool OpenRequests::Respond(std::uint64_t id, HttpResponse response) {
  HttpResponder responder;
  {
    const std::lock_guard lock(this->mutex);
    auto node = this->open.extract(id);
    if (node.empty()) {
      return false;
    }
    responder = std::move(node.mapped());
  }
  responder(std::move(response));
  return true;
}

std::size_t OpenRequests::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->open.size();
}

}  // namespace quetzalvale
