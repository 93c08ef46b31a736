/// HTTP form of answers and errors.
#pragma once

#include <optional>
#include <vector>

#include "core/messages.h"
#include "http/http_messages.h"

namespace quetzalvale {

/// Returns the response that carries a job's answer.
HttpResponse RenderAnswer(const Answer& answer);

/// Returns the response to a query: 202 while the job is in progress.
HttpResponse RenderQuery(const Result<std::optional<Answer>>& answer);

HttpResponse RenderTickets(const Result<std::vector<Ticket>>& tickets);

/// Returns a refusal: the request had no effect and nothing of the job ran.
HttpResponse RenderRefusal(const Error& error);

/// Returns an error of the administration interface; `applied` tells whether the change took
/// effect, nothing when that is not known.
HttpResponse RenderAdminError(const Error& error, std::optional<bool> applied);

}  // namespace quetzalvale
