#include "standin/endpoint_journal.h"

namespace quetzalvale {

EndpointJournal::EndpointJournal(Time now, std::chrono::system_clock::time_point wall_now)
    : base(now), wall_base(wall_now) {}

bool EndpointJournal::WriteTo(const std::string& path) {
  this->file.open(path, std::ios::app);
  return this->file.is_open();
}

std::size_t EndpointJournal::RecordStart(const std::string& task, Time at) {
  this->records.push_back(Record{task, this->WallMs(at), "", 0});
  this->WriteLine("start", this->records.back());
  return this->records.size() - 1;
}

void EndpointJournal::RecordEnd(std::size_t record, const std::string& end, Time at) {
  this->records[record].end = end;
  this->records[record].ended_ms = this->WallMs(at);
  this->WriteLine("end", this->records[record]);
}

Json::Value EndpointJournal::ToJson() const {
  Json::Value starts(Json::arrayValue);
  for (const auto& record : this->records) {
    Json::Value json;
    json["task"] = record.task;
    json["at_ms"] = static_cast<Json::Int64>(record.at_ms);
    json["end"] = record.end.empty() ? Json::Value() : Json::Value(record.end);
    json["ended_ms"] =
        record.end.empty() ? Json::Value() : Json::Value(static_cast<Json::Int64>(record.ended_ms));
    starts.append(std::move(json));
  }
  Json::Value journal;
  journal["starts"] = std::move(starts);
  return journal;
}

std::int64_t EndpointJournal::WallMs(Time time) const {
  const auto wall =
      this->wall_base +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(time - this->base);
  return std::chrono::duration_cast<Milliseconds>(wall.time_since_epoch()).count();
}

void EndpointJournal::WriteLine(const char* what, const Record& record) {
  if (this->file.is_open()) {
    // Flushed at once: the record of a start has to outlive a killed process.
    this->file << what << ' ' << record.task << ' ' << record.at_ms << ' '
               << (record.end.empty() ? "-" : record.end) << ' ' << record.ended_ms << std::endl;
  }
}

}  // namespace quetzalvale
