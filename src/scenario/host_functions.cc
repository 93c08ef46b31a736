#include "scenario/host_functions.h"

#include <openssl/evp.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "load/clairvoyant.h"
#include "protocol/codec.h"

namespace quetzalvale {
namespace {

std::uint16_t ToPort(const Json::Value& value) {
  const Json::UInt port = value.asUInt();
  if (port == 0 || port > 65535) {
    throw std::invalid_argument(std::to_string(port) + " is not a port");
  }
  return static_cast<std::uint16_t>(port);
}

Json::Value ToJsonOrNull(const std::optional<int>& number) {
  return number ? Json::Value(*number) : Json::Value();
}

ScenarioHost::StartOptions ToStartOptions(const Json::Value& json) {
  ScenarioHost::StartOptions options;
  options.name = json["name"].asString();
  options.program = json["program"].asString();
  for (const Json::Value& argument : json["arguments"]) {
    options.arguments.push_back(argument.asString());
  }
  options.settings = json["settings"];
  return options;
}

/// Members: address, method, path, body, headers, timeout_ms.
CallRequest ToRequest(const Json::Value& json) {
  CallRequest request;
  request.address = json["address"].asString();
  request.method = json.get("method", "GET").asString();
  request.path = json["path"].asString();
  if (!json["body"].isNull()) {
    request.body = WriteJson(json["body"]);
  }
  for (const std::string& name : json["headers"].getMemberNames()) {
    request.headers[name] = json["headers"][name].asString();
  }
  request.timeout = std::chrono::milliseconds(json.get("timeout_ms", 120000).asInt64());
  return request;
}

/// Members: status, text and body (when the text is JSON), or error and sent (whether the request
/// may have reached the server).
Json::Value ToJson(const CallResult& result) {
  Json::Value json(Json::objectValue);
  if (!IsOk(result)) {
    json["error"] = GetError(result).message;
    json["sent"] = GetError(result).kind != ErrorKind::kUnreachable;
    return json;
  }
  const CallReply& reply = std::get<CallReply>(result);
  json["status"] = reply.status;
  json["text"] = reply.body;
  auto body = ReadJson(reply.body);
  if (IsOk(body)) {
    json["body"] = std::get<Json::Value>(std::move(body));
  }
  return json;
}

Json::Value FindCall(const CallRecords& calls, const Json::Value& number) {
  const auto record = calls.Find(number.asUInt64());
  if (!record) {
    return Json::Value();
  }
  Json::Value json = ToJson(record->result);
  json["sent_ms"] = record->sent_ms;
  json["answered_ms"] = record->answered_ms;
  return json;
}

Json::Value ReadJsonFile(const std::string& path) {
  std::ifstream stream(path);
  const std::string text(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>{});
  auto json = ReadJson(text);
  if (!stream || !IsOk(json)) {
    throw std::runtime_error(path + ": cannot be read as JSON");
  }
  return std::get<Json::Value>(std::move(json));
}

std::string Sha256(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string hexadecimal;
  for (unsigned int i = 0; i < size; ++i) {
    std::array<char, 3> pair{};
    std::snprintf(pair.data(), pair.size(), "%02x", static_cast<unsigned>(digest.at(i)));
    hexadecimal += pair.data();
  }
  return hexadecimal;
}

void RegisterProcessFunctions(LuaScript& script, ScenarioHost& host) {
  script.Register("start", [&host](const Json::Value& arguments) {
    return Json::Value(host.Start(ToStartOptions(arguments[0])));
  });
  script.Register("signal", [&host](const Json::Value& arguments) {
    host.Signal(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("wait_exit", [&host](const Json::Value& arguments) {
    const std::chrono::milliseconds limit(arguments[1].asInt64());
    return ToJsonOrNull(host.WaitForExit(arguments[0].asString(), limit));
  });
}

void RegisterNetworkFunctions(LuaScript& script, ScenarioHost& host) {
  script.Register("free_port",
                  [&host](const Json::Value&) { return Json::Value(host.FreePort()); });
  script.Register("relay", [&host](const Json::Value& arguments) {
    return Json::Value(host.AddRelay(arguments[0].asString(), ToPort(arguments[1])));
  });
  script.Register("cut", [&host](const Json::Value& arguments) {
    host.Links().Cut(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("restore", [&host](const Json::Value& arguments) {
    host.Links().Restore(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("reset", [&host](const Json::Value& arguments) {
    host.Links().Reset(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("hold", [&host](const Json::Value& arguments) {
    host.Links().Hold(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("release", [&host](const Json::Value& arguments) {
    host.Links().Release(arguments[0].asString(), arguments[1].asString());
    return Json::Value();
  });
  script.Register("is_holding", [&host](const Json::Value& arguments) {
    return Json::Value(host.Links().IsHolding(arguments[0].asString(), arguments[1].asString()));
  });
  script.Register("call", [](const Json::Value& arguments) {
    return ToJson(CallHttp(ToRequest(arguments[0])));
  });
  script.Register("start_call", [&host](const Json::Value& arguments) {
    return Json::Value(Json::UInt64{host.Calls().Start(ToRequest(arguments[0]))});
  });
  script.Register("call_result", [&host](const Json::Value& arguments) {
    return FindCall(host.Calls(), arguments[0]);
  });
}

/// Members: jobs [{at_ms, run_ms [...]}], endpoints [{slots, speed}], latency_ms. Returns the
/// response times of the clairvoyant dispatcher in milliseconds.
Json::Value ComputeClairvoyant(const Json::Value& json) {
  std::vector<PlannedJob> jobs;
  for (const Json::Value& listed : json["jobs"]) {
    PlannedJob& job = jobs.emplace_back();
    job.at_ms = listed["at_ms"].asDouble();
    for (const Json::Value& run_ms : listed["run_ms"]) {
      job.tasks.push_back({run_ms.asDouble(), 0});
    }
  }
  std::vector<WorkloadEndpoint> endpoints;
  for (const Json::Value& listed : json["endpoints"]) {
    endpoints.push_back({listed["slots"].asInt(), listed["speed"].asDouble()});
  }
  Json::Value responses(Json::arrayValue);
  for (const double response :
       ClairvoyantResponses(jobs, endpoints, json["latency_ms"].asDouble())) {
    responses.append(response);
  }
  return responses;
}

void RegisterTools(LuaScript& script, ScenarioHost& host, const std::string& root) {
  script.Register("run_options", [&host](const Json::Value&) {
    Json::Value options;
    options["seed"] = Json::Int64{host.Options().seed};
    options["seconds"] = host.Options().seconds;
    return options;
  });
  script.Register("now_ms",
                  [&host](const Json::Value&) { return Json::Value(host.Calls().NowMs()); });
  script.Register("sleep_ms", [](const Json::Value& arguments) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(arguments[0].asDouble()));
    return Json::Value();
  });
  script.Register("read_json", [root](const Json::Value& arguments) {
    return ReadJsonFile(root + "/" + arguments[0].asString());
  });
  script.Register("json_text", [](const Json::Value& arguments) {
    return Json::Value(WriteJson(arguments[0]));
  });
  script.Register("write_file", [&host](const Json::Value& arguments) {
    return Json::Value(host.Folder().Write(arguments[0].asString(), arguments[1].asString()));
  });
  script.Register("sha256", [](const Json::Value& arguments) {
    return Json::Value(Sha256(arguments[0].asString()));
  });
  script.Register("clairvoyant",
                  [](const Json::Value& arguments) { return ComputeClairvoyant(arguments[0]); });
  script.Register("print", [](const Json::Value& arguments) {
    std::cout << arguments[0].asString() << std::endl;
    return Json::Value();
  });
}

}  // namespace

void RegisterHostFunctions(LuaScript& script, ScenarioHost& host, const std::string& root) {
  RegisterProcessFunctions(script, host);
  RegisterNetworkFunctions(script, host);
  RegisterTools(script, host, root);
}

}  // namespace quetzalvale
