/**
 * Messages between entry instances. Strings are identifiers of at most 64 characters unless a
 * comment says otherwise; times are durations in milliseconds, because instances share no clock.
 */
namespace py peers

/** Raised with every change that an older instance would misread. */
const i16 PROTOCOL_VERSION = 1

enum Status {
  STARTING = 1,
  READY = 2,
  DRAINING = 3,
  GONE = 4,
}

struct Member {
  1: string id,
  2: string incarnation,
  3: i64 heartbeat,
  4: string address,
  5: string domain,
  6: Status status,
}

struct DrainingServer {
  1: string id,
  2: string incarnation,
}

struct QuarantineEntry {
  1: string fingerprint,
  2: double blame,
  3: list<string> servers,
  4: double remaining_ms,
  5: i32 tests_failed,
}

/** Note number 0 means that no note is in force. */
struct Gossip {
  1: Member sender,
  2: i64 note_number,
  3: string note_digest,
  4: list<DrainingServer> draining,
  5: list<QuarantineEntry> quarantine,
  6: list<Member> members,
  7: i64 ask,
  8: i64 answer_to,
  9: string answer_incarnation,
}

struct NoteRequest {
}

/** The document is JSON; an empty one means that no note is in force. */
struct NoteAnswer {
  1: binary document,
}

/** The body is JSON. The incarnation is that of the owner of the ticket; wire_id names the call. */
struct RunRequest {
  1: string incarnation,
  2: string front,
  3: string ticket,
  4: string action,
  5: binary body,
  6: double budget_ms,
  7: optional string service_name,
  8: string wire_id,
}

/** The answer is JSON. A failure is set when the ticket was not examined. */
struct RunOutcome {
  1: string outcome,
  2: binary answer,
  3: string reason,
  4: optional i32 retry_after_ms,
  5: optional string failure,
}

struct Frame {
  1: i16 version,
  2: i64 request_id,
  3: optional Gossip gossip,
  4: optional NoteRequest note_request,
  5: optional NoteAnswer note_answer,
  6: optional RunRequest run_request,
  7: optional RunOutcome run_outcome,
}
