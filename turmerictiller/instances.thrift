/**
 * What instances that forward requests tell each other. Times are durations in milliseconds,
 * because instances share no clock.
 */
namespace py instances

/** Raised with every change that an older instance would misread. */
const i16 PROTOCOL_VERSION = 2

struct Instance {
  1: string id,
  2: string address,
  3: i64 incarnation,
  /** Time since the instance was last heard, by anyone. */
  4: i32 age_ms,
  5: optional string failure_domain,
}

/** Calls of a request that crashed servers, as one instance saw them. */
struct CrashReport {
  1: i64 fingerprint,
  /** The incarnation of the instance that saw them. */
  2: i64 origin,
  3: i32 crashes,
  /** Time since that instance last changed the number. */
  4: i32 age_ms,
}

/** A document as it was published; without a value it was removed. */
struct Document {
  1: string key,
  2: i64 revision,
  3: optional binary value,
  /** The value in the zlib format, instead of it; only for instances that accept it. */
  4: optional binary deflated_value,
}

/** A server with slow answers. */
struct SlowServer {
  1: string server_id,
  /** Number of slow answers, less by age and by what other instances were told. */
  2: double weight,
  /** Times of these answers as a multiple of the usual one. */
  3: double slowness,
}

/** A server that turned away a new connection. */
struct ContestedServer {
  1: string server_id,
  2: i32 age_ms,
}

/** Question and answer of one exchange. */
struct Exchange {
  1: i16 protocol,
  2: Instance sender,
  3: bool leaving,
  4: list<Instance> instances,
  6: i64 configuration_version,
  7: bool wants_documents,
  8: list<Document> documents,
  9: optional list<SlowServer> slow_servers,
  /** How many instances the sender counts, itself included. */
  10: optional i32 live_instances,
  11: optional list<ContestedServer> contested_servers,
  /** Revision of the registry up to which the sender knows all changes. */
  12: optional i64 revision,
  /** Time since the registry had nothing newer for the sender. */
  13: optional i32 read_age_ms,
  /** Whether the sender wants the changes after its revision. */
  14: optional bool follows,
  /** The documents are all changes after this revision and up to that of the sender. */
  15: optional i64 changes_since,
  16: optional list<CrashReport> crash_reports,
  /** Whether the sender wants only small changes now, because another instance is sending the others. */
  17: optional bool declines_large_documents,
  /** Whether the reply may hold deflated values. */
  18: optional bool accepts_deflated,
}
