#include "scenario/link_table.h"

namespace quetzalvale {

void LinkTable::Cut(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  this->cuts.emplace(from, to);
}

void LinkTable::Restore(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  this->cuts.erase({from, to});
}

void LinkTable::Hold(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  this->holds.emplace(from, to);
}

void LinkTable::Release(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  this->holds.erase({from, to});
  this->holding.erase({from, to});
}

bool LinkTable::TakeHold(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  if (this->holds.erase({from, to}) == 0) {
    return false;
  }
  this->holding.emplace(from, to);
  return true;
}

bool LinkTable::IsHolding(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(this->mutex);
  return this->holding.contains({from, to});
}

void LinkTable::Reset(const std::string& from, const std::string& to) {
  const std::lock_guard lock(this->mutex);
  ++this->resets[{from, to}];
}

std::uint64_t LinkTable::Resets(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->resets.find({from, to});
  return found == this->resets.end() ? 0 : found->second;
}

bool LinkTable::IsCut(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(this->mutex);
  return this->cuts.contains({from, to});
}

bool LinkTable::IfOpen(const std::string& from, const std::string& to,
                       const std::function<bool()>& transfer) const {
  const std::lock_guard lock(this->mutex);
  return this->cuts.contains({from, to}) || transfer();
}

}  // namespace quetzalvale
