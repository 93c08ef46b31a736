/// Table client in memory whose commits fail as a test says.
#pragma once

#include <deque>
#include <mutex>

#include "standin/platform_store.h"
#include "store/table_client.h"

namespace quetzalvale {

class FaultyTable : public TableClient {
 public:
  enum class Fault { kNone, kRefused, kUnknownApplied, kUnknownNotApplied };

  /// Each commit takes the next fault; none when they are used up.
  std::deque<Fault> commit_faults;
  /// Reads fail this many times first.
  int failing_reads = 0;
  int commits = 0;
  PlatformStore store;

  void ReadAsync(std::string_view table, std::string_view key,
                 std::function<void(RowResult)> done) override {
    if (this->failing_reads > 0) {
      --this->failing_reads;
      done(PlatformError{PlatformFailure::kRefused, "scripted"});
      return;
    }
    done(this->store.Read(table, key));
  }

  void ScanAsync(std::string_view table, std::string_view prefix, std::uint32_t limit,
                 std::function<void(RowsResult)> done) override {
    done(this->store.Scan(table, prefix, limit));
  }

  void CommitAsync(const std::vector<TableOperation>& operations,
                   std::function<void(CommitResult)> done) override {
    ++this->commits;
    Fault fault = Fault::kNone;
    if (!this->commit_faults.empty()) {
      fault = this->commit_faults.front();
      this->commit_faults.pop_front();
    }
    if (fault == Fault::kRefused) {
      done(PlatformError{PlatformFailure::kRefused, "scripted"});
    } else if (fault == Fault::kUnknownNotApplied) {
      done(PlatformError{PlatformFailure::kUnknown, "scripted"});
    } else {
      done(this->Apply(operations, fault == Fault::kUnknownApplied));
    }
  }

  std::uint64_t SentRequests() const override { return 0; }

 private:
  CommitResult Apply(const std::vector<TableOperation>& operations, bool lose_answer) {
    auto result = this->store.Commit(operations);
    if (lose_answer) {
      return PlatformError{PlatformFailure::kUnknown, "scripted"};
    }
    if (std::holds_alternative<PlatformStore::Conflict>(result)) {
      return PlatformError{PlatformFailure::kConflict, "scripted"};
    }
    return std::get<0>(std::move(result));
  }
};

}  // namespace quetzalvale
