/// Lists the fields of each inner message once, for the encoder and the decoder alike.
#pragma once

#include "core/messages.h"

namespace quetzalvale {

// Each overload calls visit(name, field) for every field, in a fixed order.

template <typename V>
void VisitFields(V& visit, TaskSpec& m) {
  visit("payload", m.payload);
  visit("declared_ms", m.declared_run_time);
  visit("cores", m.cores);
  visit("memory_mb", m.memory_mb);
  visit("accelerators", m.accelerators);
}

template <typename V>
void VisitFields(V& visit, Outcome& m) {
  visit("task", m.task);
  visit("ok", m.ok);
  visit("reason", m.reason);
  visit("result", m.result);
  visit("run_us", m.run_time);
  visit("channel_sequence", m.channel_sequence);
}

template <typename V>
void VisitFields(V& visit, AgentLoad& m) {
  visit("clock_us", m.clock);
  visit("free_slots", m.free_slots);
  visit("free_cores", m.free_cores);
  visit("free_memory_mb", m.free_memory_mb);
  visit("free_accelerators", m.free_accelerators);
  visit("queued", m.queued);
  visit("configuration_version", m.configuration_version);
  visit("leaving", m.leaving);
  visit("speed", m.speed);
  visit("evacuation_version", m.evacuation_version);
  visit("evacuated", m.evacuated);
}

template <typename V>
void VisitFields(V& visit, EvacuationSet& m) {
  visit("version", m.version);
  visit("data_centres", m.data_centres);
}

template <typename V>
void VisitFields(V& visit, StartItem& m) {
  visit("task", m.task);
  visit("kind", m.kind);
  visit("spec", m.spec);
  visit("time_left_ms", m.time_left);
  visit("repeatable", m.repeatable);
  visit("attempt", m.attempt);
  visit("expected_us", m.expected);
  visit("start_within_ms", m.start_within);
}

template <typename V>
void VisitFields(V& visit, StartRequest& m) {
  visit("owner", m.owner);
  visit("owner_address", m.owner_address);
  visit("agent", m.agent);
  visit("channel_sequence", m.channel_sequence);
  visit("lease_ms", m.lease);
  visit("configuration_version", m.configuration_version);
  visit("accept_until_us", m.accept_until);
  visit("items", m.items);
}

template <typename V>
void VisitFields(V& visit, StartReply& m) {
  visit("agent", m.agent);
  visit("repeated", m.repeated);
  visit("decisions", m.decisions);
  visit("outcomes", m.outcomes);
  visit("load", m.load);
}

template <typename V>
void VisitFields(V& visit, TaskReport& m) {
  visit("task", m.task);
  visit("status", m.status);
  visit("outcome", m.outcome);
}

template <typename V>
void VisitFields(V& visit, WithdrawItem& m) {
  visit("channel_sequence", m.channel_sequence);
  visit("task", m.task);
}

template <typename V>
void VisitFields(V& visit, WithdrawRequest& m) {
  visit("owner", m.owner);
  visit("agent", m.agent);
  visit("items", m.items);
  visit("stop_running", m.stop_running);
}

template <typename V>
void VisitFields(V& visit, WithdrawReply& m) {
  visit("agent", m.agent);
  visit("reports", m.reports);
  visit("load", m.load);
}

template <typename V>
void VisitFields(V& visit, SealRequest& m) {
  visit("ticket", m.ticket);
  visit("sealer", m.sealer);
}

template <typename V>
void VisitFields(V& visit, SealReply& m) {
  visit("agent", m.agent);
  visit("maybe_started", m.maybe_started);
  visit("reports", m.reports);
}

template <typename V>
void VisitFields(V& visit, OutcomesRequest& m) {
  visit("agent", m.agent);
  visit("owner", m.owner);
  visit("outcomes", m.outcomes);
  visit("load", m.load);
}

template <typename V>
void VisitFields(V& visit, OutcomesReply& m) {
  visit("owner", m.owner);
  visit("configuration_version", m.configuration_version);
}

template <typename V>
void VisitFields(V& visit, WorkerCapacity& m) {
  visit("slots", m.slots);
  visit("connections", m.connections);
  visit("cores", m.cores);
  visit("memory_mb", m.memory_mb);
  visit("accelerators", m.accelerators);
}

template <typename V>
void VisitFields(V& visit, Announce& m) {
  visit("agent", m.agent);
  visit("name", m.name);
  visit("service", m.service);
  visit("data_centre", m.data_centre);
  visit("address", m.address);
  visit("worker", m.worker);
  visit("load", m.load);
  visit("labels", m.labels);
  visit("endpoint_incarnation", m.endpoint_incarnation);
}

template <typename V>
void VisitFields(V& visit, EntryInfo& m) {
  visit("incarnation", m.incarnation);
  visit("address", m.address);
  visit("data_centre", m.data_centre);
}

template <typename V>
void VisitFields(V& visit, Heartbeat& m) {
  visit("agent", m.agent);
  visit("load", m.load);
  visit("entries_digest", m.entries_digest);
}

template <typename V>
void VisitFields(V& visit, AnnounceReply& m) {
  visit("entry", m.entry);
  visit("entries", m.entries);
  visit("entries_digest", m.entries_digest);
  visit("configuration_version", m.configuration_version);
  visit("member", m.member);
  visit("known", m.known);
  visit("withdrawn", m.withdrawn);
  visit("evacuation_version", m.evacuation_version);
  visit("evacuated", m.evacuated);
}

template <typename V>
void VisitFields(V& visit, RosterItem& m) {
  visit("service", m.service);
  visit("agent", m.agent);
  visit("address", m.address);
  visit("first_roster", m.first_roster);
  visit("end_roster", m.end_roster);
}

template <typename V>
void VisitFields(V& visit, Succession& m) {
  visit("departed", m.departed);
  visit("successor", m.successor);
}

template <typename V>
void VisitFields(V& visit, Hello& m) {
  visit("entry", m.entry);
  visit("leaving", m.leaving);
  visit("entries", m.entries);
  visit("successions", m.successions);
  visit("digest", m.digest);
  visit("roster_number", m.roster_number);
  visit("roster_base", m.roster_base);
  visit("roster", m.roster);
  visit("complete_from", m.complete_from);
  visit("seen_roster", m.seen_roster);
  visit("seen_digest", m.seen_digest);
  visit("demand", m.demand);
  visit("configuration_versions", m.configuration_versions);
  visit("evacuations", m.evacuations);
}

template <typename V>
void VisitFields(V& visit, Submission& m) {
  visit("service", m.service);
  visit("ticket", m.ticket);
  visit("key", m.key);
  visit("name", m.name);
  visit("team", m.team);
  visit("kind", m.kind);
  visit("deadline_ms", m.deadline);
  visit("tasks", m.tasks);
  visit("body_hash", m.body_hash);
  visit("data_rack", m.data_rack);
  visit("payload_tail", m.payload_tail);
}

template <typename V>
void VisitFields(V& visit, Answer& m) {
  visit("status", m.status);
  visit("ticket", m.ticket);
  visit("error", m.error);
  visit("reason", m.reason);
  visit("message", m.message);
  visit("not_run", m.not_run);
  visit("results", m.results);
  visit("fresh_tickets", m.fresh_tickets);
}

template <typename V>
void VisitFields(V& visit, ForwardRequest& m) {
  visit("from", m.from);
  visit("request_id", m.request_id);
  visit("submission", m.submission);
}

template <typename V>
void VisitFields(V& visit, ForwardReply& m) {
  visit("entry", m.entry);
  visit("taken", m.taken);
}

template <typename V>
void VisitFields(V& visit, AnswerRequest& m) {
  visit("to", m.to);
  visit("request_id", m.request_id);
  visit("answer", m.answer);
}

template <typename V>
void VisitFields(V& visit, CancelRequest& m) {
  visit("ticket", m.ticket);
}

template <typename V>
void VisitFields(V& visit, CancelledJobs& m) {
  visit("from", m.from);
  visit("names", m.names);
}

template <typename V>
void VisitFields(V& visit, HandOver::RetainedAnswer& m) {
  visit("sequence", m.sequence);
  visit("body_hash", m.body_hash);
  visit("answer", m.answer);
}

template <typename V>
void VisitFields(V& visit, HandOver& m) {
  visit("owner", m.owner);
  visit("service", m.service);
  visit("part", m.part);
  visit("parts", m.parts);
  visit("next_sequence", m.next_sequence);
  visit("floor", m.floor);
  visit("used", m.used);
  visit("answers", m.answers);
}

template <typename V>
void VisitFields(V& visit, Acknowledgement& m) {
  visit("from", m.from);
  visit("accepted", m.accepted);
}

}  // namespace quetzalvale
