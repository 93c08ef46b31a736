/// HTTP interface of the endpoint stand-in.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "standin/endpoint_journal.h"
#include "standin/endpoint_worker.h"

namespace quetzalvale {

/// Serves the worker over HTTP; one thread runs its timers.
class EndpointServer {
 public:
  /// `journal` must outlive the server.
  EndpointServer(const std::string& address, EndpointOptions options, EndpointControl control,
                 EndpointJournal& journal);
  ~EndpointServer();
  EndpointServer(const EndpointServer&) = delete;
  EndpointServer& operator=(const EndpointServer&) = delete;

  /// Returns an empty text, or the reason why the address cannot be listened on.
  std::string Start();

  /// Waits a while for running tasks, then closes the address. May be called twice.
  void Stop();

 private:
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void HandleGet(Time now, const std::string& path, const HttpResponder& respond);
  void HandlePost(Time now, const std::string& path, const Json::Value& body,
                  const HttpResponder& respond);
  void StartTask(Time now, const Json::Value& body, const HttpResponder& respond);
  void Renew(Time now, const Json::Value& body, const HttpResponder& respond);
  void ChangeTask(Time now, const std::string& path, const Json::Value& body,
                  const HttpResponder& respond);
  void ChangeFaults(Time now, const Json::Value& body, const HttpResponder& respond);
  void RunTimers();

  EndpointJournal& journal;
  std::mutex mutex;
  std::condition_variable changed;
  EndpointWorker worker;
  bool stopping = false;
  HttpServer http;
  std::thread timers;
};

}  // namespace quetzalvale
