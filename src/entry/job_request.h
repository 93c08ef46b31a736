/// Parsing of callers' jobs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/messages.h"
#include "core/result.h"

namespace quetzalvale {

/// Turns the JSON text of a job into a submission. Pure. Checks form only; limits, kinds and teams
/// are admission's. The body hash covers the service and the canonical JSON of everything but the
/// ticket. Payloads keep the caller's text. Errors: kTooLarge (checked before parsing), kMalformed,
/// kUnknownTicket (the ticket belongs to another service), kNoIdentity.
Result<Submission> ParseJobRequest(std::string_view service, std::string_view body,
                                   std::uint64_t max_body_bytes);

/// Whether the body of a refused job carries neither a ticket nor a key, so that no earlier
/// submission of the same job can have run. False when the body cannot be read.
bool NamesNoJob(std::string_view body);

/// Parses the body of a request for tickets and returns their number.
Result<std::uint32_t> ParseTicketsRequest(std::string_view body);

}  // namespace quetzalvale
