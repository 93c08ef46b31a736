#include "entry/caller_api.h"

#include <utility>

#include "entry/answer_json.h"
#include "entry/job_request.h"

namespace quetzalvale {

HttpResponse WrongMethod(const std::string& allowed) {
  constexpr int kMethodNotAllowed = 405;
  HttpResponse response =
      RenderRefusal({ErrorKind::kMalformed, "this path does not have that method; use " + allowed});
  response.status = kMethodNotAllowed;
  return response;
}

HttpResponse UnknownPath() {
  return RenderRefusal({ErrorKind::kNotFound, "there is no such path; correct it"});
}

CallerApi::CallerApi(CoreThread& core, OpenRequests& open, const ConfigurationBook& book,
                     std::atomic<std::uint64_t>& ids)
    : core(core), open(open), book(book), ids(ids) {}

void CallerApi::Handle(const HttpRequest& request, const HttpResponder& respond) {
  constexpr std::size_t kCollectionDepth = 4;
  const auto& path = request.path;
  if (path.size() < kCollectionDepth || path.size() > kCollectionDepth + 1) {
    respond(UnknownPath());
    return;
  }
  const bool collection = path.size() == kCollectionDepth;
  if (!this->book.IsServed(path[2])) {
    // Another entry may serve the service and may have run the job.
    respond(RenderJobRefusal({ErrorKind::kUnknownService,
                              "this entry does not serve that service; "
                              "correct its name or use another entry"},
                             false));
  } else if (collection && path[3] == "tickets") {
    this->HandleTickets(request, respond);
  } else if (collection && path[3] == "jobs") {
    this->HandleJob(request, respond);
  } else if (!collection && path[3] == "jobs") {
    this->HandleTicket(request, respond);
  } else {
    respond(UnknownPath());
  }
}

template <typename Make>
void CallerApi::Post(const HttpResponder& respond, const Make& make) {
  const RequestId id = ++this->ids;
  this->open.Add(id, respond);
  if (!this->core.PostRequest(make(id))) {
    // An earlier submission with the same ticket or key may be running.
    this->open.Respond(id, RenderJobRefusal({ErrorKind::kOverloaded,
                                             "the entry is overloaded; submit again after a pause"},
                                            false));
  }
}

void CallerApi::HandleJob(const HttpRequest& request, const HttpResponder& respond) {
  if (request.method != "POST") {
    respond(WrongMethod("POST"));
    return;
  }
  const std::string& service = request.path[2];
  const auto configuration = this->book.Configuration(service);
  if (!configuration) {
    respond(RenderJobRefusal({ErrorKind::kNotReady,
                              "the service's configuration is not known yet; "
                              "submit again later or through another entry"},
                             NamesNoJob(request.body)));
    return;
  }
  auto submission = ParseJobRequest(service, request.body, configuration->limits.body_bytes);
  if (!IsOk(submission)) {
    respond(RenderJobRefusal(GetError(submission), NamesNoJob(request.body)));
    return;
  }
  this->Post(respond, [&submission](RequestId id) {
    return JobSubmitted{id, std::get<Submission>(std::move(submission))};
  });
}

void CallerApi::HandleTickets(const HttpRequest& request, const HttpResponder& respond) {
  if (request.method != "POST") {
    respond(WrongMethod("POST"));
    return;
  }
  const auto count = ParseTicketsRequest(request.body);
  if (!IsOk(count)) {
    respond(RenderRefusal(GetError(count)));
    return;
  }
  this->Post(respond, [&](RequestId id) {
    return TicketsRequested{id, request.path[2], std::get<std::uint32_t>(count)};
  });
}

void CallerApi::HandleTicket(const HttpRequest& request, const HttpResponder& respond) {
  const auto ticket = Ticket::Parse(request.path[4]);
  if (!ticket || ticket->service != request.path[2]) {
    respond(RenderQuery(Error{ErrorKind::kUnknownTicket,
                              "the path does not name a ticket of this service; use the ticket "
                              "as it was given"}));
  } else if (request.method == "GET") {
    this->Post(respond, [&](RequestId id) { return JobQueried{id, *ticket}; });
  } else if (request.method == "DELETE") {
    this->Post(respond, [&](RequestId id) { return JobCancelled{id, *ticket}; });
  } else {
    respond(WrongMethod("GET or DELETE"));
  }
}

}  // namespace quetzalvale
