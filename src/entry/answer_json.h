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

/// Returns the refusal of a request that submits no job; the request had no effect.
HttpResponse RenderRefusal(const Error& error);

/// Returns the refusal of a job. `not_run` claims that nothing of the job ran, so it must be false
/// while an earlier submission with the same ticket or key may have run.
HttpResponse RenderJobRefusal(const Error& error, bool not_run);

/// Returns an error of the administration interface; `applied` tells whether the change took
/// effect, nothing when that is not known.
HttpResponse RenderAdminError(const Error& error, std::optional<bool> applied);

}  // namespace quetzalvale
