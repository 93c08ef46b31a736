#include "platform/table_watcher.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "http/http_server.h"
#include "platform/evacuation_rows.h"
#include "tests/support/loopback_address.h"

namespace quetzalvale::platform {
namespace {

constexpr std::size_t kMaxBodyBytes = 1000;
constexpr std::chrono::seconds kPatience{20};

/// A store whose feed answers its first call with the first of two pages.
class PagedStore {
 public:
  PagedStore()
      : server(
            this->address, [] { return kMaxBodyBytes; },
            [this](const HttpRequest& request, const HttpResponder& respond) {
              respond({200, this->Answer(request.target)});
            }) {}

  std::string Start() { return this->server.Start(); }

  const std::string address = NextLoopbackAddress();

 private:
  std::string Answer(const std::string& target) {
    if (target.starts_with("/api/rows-feed")) {
      this->changed = true;
      return R"({"ver":9,"more_pages":true,"rows":[{"key":"evacuate/north","value":"","ver":6}]})";
    }
    return this->changed ? R"({"ver":9,"rows":[{"key":"evacuate/north","value":"","ver":6},
                               {"key":"evacuate/south","value":"","ver":9}]})"
                         : R"({"ver":5,"rows":[]})";
  }

  std::atomic<bool> changed{false};
  HttpServer server;
};

// Guards against an evacuation that nobody notices: the changes behind the first page were skipped,
// because the watcher went on from the version that the page names.
TEST(TableWatcherTest, FeedInPagesIsFollowedByAReadOfTheWholeTable) {
  PagedStore paged;
  ASSERT_EQ(paged.Start(), "");
  StoreClient store(paged.address);
  std::mutex mutex;
  std::condition_variable arrived;
  EvacuationRows rows;
  EvacuationSet latest;
  TableWatcher* self = nullptr;
  TableWatcher watcher(store, "op", Milliseconds(50),
                       [&](const std::vector<StoreRow>& read, TableWatcher::Scope scope) {
                         const std::lock_guard lock(mutex);
                         if (auto set = rows.Apply(read, scope, self->Version())) {
                           EXPECT_TRUE(set->version < 9 || set->data_centres.size() == 2)
                               << "the set is not complete for the version that it names";
                           latest = *std::move(set);
                         }
                         arrived.notify_all();
                       });
  self = &watcher;
  watcher.Start();
  std::unique_lock lock(mutex);
  EXPECT_TRUE(arrived.wait_for(lock, kPatience, [&] {
    return latest.version == 9 && latest.data_centres == std::vector<std::string>{"north", "south"};
  }));
  lock.unlock();
  watcher.Stop();
}

}  // namespace
}  // namespace quetzalvale::platform
