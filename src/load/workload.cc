#include "load/workload.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <memory>
#include <set>
#include <stdexcept>

namespace quetzalvale {
namespace {

/// A fault in the file; turned into an Error by ParseWorkload.
class WorkloadError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void Fail(const std::string& path, const std::string& fault) {
  throw WorkloadError(path + " " + fault);
}

/// An object of the file, whose unknown members are errors.
class Reader {
 public:
  Reader(const Json::Value& value, std::string path) : value(value), path(std::move(path)) {
    if (!value.isObject()) Fail(this->path, "is not an object; write one");
  }

  double Number(const char* name, double lowest, std::optional<double> otherwise = {}) {
    const Json::Value& member = this->Member(name);
    if (member.isNull() && otherwise) return *otherwise;
    if (!member.isNumeric() || member.asDouble() < lowest) {
      Fail(this->path + "." + name, "is not a number of " + std::to_string(lowest) + " or more");
    }
    return member.asDouble();
  }

  std::string Text(const char* name) {
    const Json::Value& member = this->Member(name);
    if (!member.isString()) Fail(this->path + "." + name, "is not a string; write one");
    return member.asString();
  }

  bool Has(const char* name) { return !this->Member(name).isNull(); }

  const Json::Value& Member(const char* name) {
    this->known.insert(name);
    return this->value[name];
  }

  std::string Path(const char* name) const { return this->path + "." + name; }

  void Finish() const {
    for (const std::string& name : this->value.getMemberNames()) {
      if (!this->known.contains(name)) {
        Fail(this->path + "." + name, "is not known; remove it or correct its name");
      }
    }
  }

 private:
  const Json::Value& value;
  std::string path;
  std::set<std::string> known;
};

/// Calls `read(reader)` for every object of an array, which may be absent.
template <typename Read>
void ForEach(Reader& parent, const char* name, const Read& read) {
  const Json::Value& list = parent.Member(name);
  if (list.isNull()) return;
  if (!list.isArray()) Fail(parent.Path(name), "is not a list; write one");
  for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
    Reader item(list[i], parent.Path(name) + "[" + std::to_string(i) + "]");
    read(item);
    item.Finish();
  }
}

DistributionPart ReadPart(Reader& reader) {
  DistributionPart part;
  part.weight = reader.Number("weight", 0, 1);
  if (reader.Has("value")) {
    part.low = part.high = reader.Number("value", 0);
    return part;
  }
  part.low = reader.Number("low", 0);
  part.high = reader.Number("high", part.low);
  if (reader.Has("median")) {
    part.shape = DistributionPart::Shape::kLognormal;
    part.median = reader.Number("median", 0.001);
    part.sigma = reader.Number("sigma", 0);
  }
  return part;
}

Distribution ReadDistribution(Reader& parent, const char* name) {
  Distribution distribution;
  ForEach(parent, name, [&](Reader& item) { distribution.push_back(ReadPart(item)); });
  double weight = 0;
  for (const DistributionPart& part : distribution) weight += part.weight;
  if (weight <= 0) Fail(parent.Path(name), "has no part with a weight; add one");
  return distribution;
}

void ReadEndpoints(Reader& root, Workload& workload) {
  ForEach(root, "endpoints", [&](Reader& item) {
    WorkloadEndpoint endpoint;
    endpoint.slots = static_cast<int>(item.Number("slots", 1));
    endpoint.speed = item.Number("speed", 0.001, 1);
    workload.endpoints.insert(workload.endpoints.end(),
                              static_cast<std::size_t>(item.Number("count", 1, 1)), endpoint);
  });
  if (workload.endpoints.empty()) Fail("$.endpoints", "is empty; add one");
}

void ReadDisturbances(Reader& root, Workload& workload) {
  ForEach(root, "bursts", [&](Reader& item) {
    workload.bursts.push_back(
        {item.Number("from_s", 0), item.Number("to_s", 0), item.Number("factor", 0)});
  });
  ForEach(root, "controls", [&](Reader& item) {
    WorkloadControl control;
    control.at_s = item.Number("at_s", 0);
    if (item.Has("endpoint")) {
      control.endpoint = static_cast<std::size_t>(item.Number("endpoint", 0));
      if (*control.endpoint >= workload.endpoints.size()) {
        Fail(item.Path("endpoint"), "is no position in endpoints; use a smaller one");
      }
    }
    control.body = Json::writeString(Json::StreamWriterBuilder(), item.Member("body"));
    workload.controls.push_back(control);
  });
  ForEach(root, "cancellations", [&](Reader& item) {
    workload.cancellations.push_back({item.Number("at_s", 0), item.Number("share", 0)});
  });
}

Workload ReadWorkload(const Json::Value& value) {
  Reader root(value, "$");
  Workload workload;
  workload.name = root.Text("name");
  workload.service = root.Text("service");
  workload.seed = static_cast<std::uint64_t>(root.Number("seed", 0));
  workload.duration_s = root.Number("duration_s", 0.001);
  workload.warmup_s = root.Number("warmup_s", 0, 0);
  workload.load = root.Number("load", 0.001);
  if (root.Has("declared_error")) workload.declared_error = root.Number("declared_error", 1);
  workload.caller_latency_ms = root.Number("caller_latency_ms", 0, 0);
  workload.endpoint_latency_ms = static_cast<int>(root.Number("endpoint_latency_ms", 0, 0));
  workload.resubmissions = static_cast<int>(root.Number("resubmissions", 0, 0));
  ForEach(root, "kinds", [&](Reader& item) {
    WorkloadKind kind;
    kind.name = item.Text("name");
    kind.weight = item.Number("weight", 0, 1);
    kind.tasks = ReadDistribution(item, "tasks");
    kind.run_ms = ReadDistribution(item, "run_ms");
    kind.deadline = Milliseconds(std::llround(item.Number("deadline_ms", 0, 0)));
    workload.kinds.push_back(kind);
  });
  if (workload.kinds.empty()) Fail("$.kinds", "is empty; add one");
  ForEach(root, "teams", [&](Reader& item) {
    workload.teams.push_back({item.Text("name"), item.Number("weight", 0, 1)});
  });
  if (workload.teams.empty()) Fail("$.teams", "is empty; add one");
  ReadEndpoints(root, workload);
  ReadDisturbances(root, workload);
  // The disturbances that concern processes are carried out by scripts/measure.
  root.Member("processes");
  root.Member("settings");
  root.Member("entries");
  root.Finish();
  return workload;
}

}  // namespace

double Draw(const Distribution& distribution, Random& random) {
  boost::random::uniform_01<double> uniform;
  double total = 0;
  for (const DistributionPart& part : distribution) total += part.weight;
  double position = uniform(random) * total;
  const DistributionPart* chosen = &distribution.back();
  for (const DistributionPart& part : distribution) {
    if (position < part.weight) {
      chosen = &part;
      break;
    }
    position -= part.weight;
  }
  if (chosen->shape == DistributionPart::Shape::kUniform) {
    return chosen->low + uniform(random) * (chosen->high - chosen->low);
  }
  boost::random::lognormal_distribution<double> lognormal(std::log(chosen->median), chosen->sigma);
  return std::clamp(lognormal(random), chosen->low, chosen->high);
}

double Workload::Capacity() const {
  double capacity = 0;
  for (const WorkloadEndpoint& endpoint : this->endpoints) {
    capacity += endpoint.slots * endpoint.speed;
  }
  return capacity;
}

Result<Workload> ParseWorkload(std::string_view text) {
  Json::Value value;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
    return Error{ErrorKind::kInvalidSettings, "the workload is not JSON: " + errors};
  }
  try {
    return ReadWorkload(value);
  } catch (const WorkloadError& error) {
    return Error{ErrorKind::kInvalidSettings, error.what()};
  }
}

}  // namespace quetzalvale
