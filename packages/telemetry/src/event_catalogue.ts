/**
 * Catalogue of all log events with their fields. The operators' page of events
 * is generated from it, and the compiler checks every log call against it.
 */

export interface LogEvent {
  /** What the event means, for operators. */
  readonly says: string;
  readonly fields: readonly string[];
}

/** Events, grouped by the part of the system that they concern. */
export const EVENT_GROUPS = {
  "Start, stop and settings": {
    started: {
      says: "the process listens for requests",
      fields: ["instance", "domain", "callers", "memory_mb"],
    },
    not_started: {
      says: "startup failed; the process exits",
      fields: ["reason"],
    },
    stopping: {
      says: "the process begins to shut down",
      fields: ["signal", "in_progress"],
    },
    stopped: {
      says: "the process has shut down; `cut` counts requests that were still in progress",
      fields: ["instance", "all_work_ended", "cut", "requests", "after_ms"],
    },
    settings_reloaded: {
      says: "a check on SIGHUP found the settings file valid; changes apply after the next restart",
      fields: ["instance"],
    },
    settings_kept: {
      says: "a check on SIGHUP found the settings file invalid; the running process is not affected",
      fields: ["reason"],
    },
    unexpected_error: {
      says: "an error that no code expects, with its stack; a request that it ended is answered or broken off, and the process goes on",
      fields: ["origin", "reason", "total"],
    },
    internal_error: {
      says: "an unhandled error ended a request",
      fields: ["request", "reason"],
    },
  },
  Requests: {
    request_sent: {
      says: "an attempt is sent to a backend server, the `attempt`th of this instance that arrives at one; `stages` lists its engines, `prompt_parts` the parts of its prompt that other requests may share, and events up to `after_event` were already received; `load` and `backlog_ms` are the highest used memory and the longest backlog of prompts that the instance believed of its engines",
      fields: [
        "request",
        "route",
        "id",
        "stages",
        "attempt",
        "prompt_parts",
        "after_event",
        "left_ms",
        "load",
        "backlog_ms",
      ],
    },
    retries_counted: {
      says: "in the part of the window of the retry limit that has just ended, this instance took or was refused retries; of those in the whole window its requests have paid for `window_paid`, and `window_fixed` are of its `share` of the fixed allowance, `fixed_allowed`; `standing` says why the share is what it is: `whole`, `starting` (the process before may have used it), `joining`, `old_list`, `not_listed`",
      fields: [
        "service",
        "taken",
        "refused",
        "window_requests",
        "window_paid",
        "window_fixed",
        "fixed_allowed",
        "share",
        "standing",
      ],
    },
    run_refused: {
      says: "the engine `id` did not run an attempt; `faulty` is the engine that the refusal names",
      fields: ["request", "id", "faulty", "status"],
    },
    close_delimited_answer: {
      says: "the connection of an answer without a length or chunks ended, which doesn't tell whether it is whole; `evidence` is what is known of that, and `decision` what its caller is told: `complete`, `relayed_unframed` (the caller's connection ends it, too) or `broken`",
      fields: [
        "request",
        "id",
        "status",
        "bytes",
        "after_event",
        "evidence",
        "decision",
      ],
    },
    engine_ended: {
      says: "an engine ended with answers in progress; `prompts` counts those of them that it had only begun, and `prompt_parts` lists the parts of their prompts that other requests may share",
      fields: ["id", "service", "prompts", "prompt_parts"],
    },
    connection_surge: {
      says: "many more new connections than usual come to this instance, which lags, so that some are closed unread and their callers try another one",
      fields: ["per_second", "usual_per_second"],
    },
    connection_surge_over: {
      says: "all new connections are accepted again; `closed` counts those that were not",
      fields: ["closed"],
    },
    prompt_part_quarantined: {
      says: "engines have ended under prompts with the part, so that requests with it are refused; one is sent after `next_trial_s`, or an operator has to release the part",
      fields: ["service", "part", "engines", "trials", "next_trial_s"],
    },
    prompt_part_tried: {
      says: "this instance sends one request with the part, to find out whether it still ends engines",
      fields: ["service", "part", "trials"],
    },
    prompt_part_released: {
      says: "requests with the part are sent again; `reason` is `answered`, `operator`, `released_elsewhere` or `table_full`",
      fields: ["service", "part", "reason", "after_s"],
    },
    quarantine_unreadable: {
      says: "an object of the quarantine in the store is malformed and was ignored",
      fields: ["reason"],
    },
    request_handed_off: {
      says: "no server can be reached from here, so a request is sent to the instance `to`",
      fields: ["request", "route", "to", "after_event", "left_ms"],
    },
    handoff_declined: {
      says: "the instance `to` can't take a request over",
      fields: ["request", "to", "reason"],
    },
    request_ended: {
      says: "a request ended: its final answer was sent, or the caller disconnected; `arrival` tells a caller's first attempt (`first`) from those of callers that returned after a refusal (`returning`), or earlier than they were told (`hurried`)",
      fields: [
        "request",
        "route",
        "service",
        "organisation",
        "priority",
        "arrival",
        "from",
        "status",
        "outcome",
        "reason",
        "retry_after_s",
        "attempts",
        "first_ms",
        "total_ms",
        "late",
        "events",
        "pause_ms",
        "pause_at_ms",
      ],
    },
    request_refused: {
      says: "a request was refused before a server was chosen; its route is known if `priority` and `arrival` are given",
      fields: [
        "request",
        "status",
        "reason",
        "host",
        "path",
        "version",
        "priority",
        "arrival",
        "retry_after_s",
      ],
    },
    connection_closed: {
      says: "this instance closed a caller's connection; `request` is its latest request, `unanswered` the one that was handled and has no whole answer, `not_handled` those behind it, which have not run",
      fields: ["cause", "request", "answered", "unanswered", "not_handled"],
    },
    connections_closed: {
      says: "further connections that this instance closed in the second before, whose lines were left out",
      fields: ["count"],
    },
    requests_given_up: {
      says: "requests and connections were given up that held the most memory and progressed least; `held_bytes` of `limit_bytes` are left; once a second at most",
      fields: ["count", "held_bytes", "limit_bytes"],
    },
    request_broken: {
      says: "the caller disconnected before its request was complete",
      fields: ["request"],
    },
    unparsed_request: {
      says: "the HTTP parser rejected a request, or its connection failed or timed out",
      fields: ["code"],
    },
    no_pipeline: {
      says: "some layers that a request needs are held by no usable engine; of `engines` in the list this instance avoids `engines_avoided` after failures",
      fields: [
        "request",
        "reason",
        "priority",
        "missing_layers",
        "engines",
        "engines_avoided",
        "avoided",
        "waited_ms",
        "expected_wait_ms",
        "cost_ahead",
      ],
    },
    no_room: {
      says: "there are pipelines for a request, but their engines are full; `reason` is that of the admission queue, and `cost_ahead` the tokens of the requests before it",
      fields: [
        "request",
        "reason",
        "priority",
        "missing_layers",
        "engines",
        "engines_avoided",
        "avoided",
        "waited_ms",
        "expected_wait_ms",
        "cost_ahead",
      ],
    },
    domain_flow: {
      says: "the load limit of another failure domain's engines changed; `need` and `capacity` are that domain's, in tokens of complete answers",
      fields: ["domain", "load_limit", "need", "capacity"],
    },
    pipeline_changed: {
      says: "the replacement of a lost stage was requested; `answer` is the outcome",
      fields: ["request", "lost", "stages", "answer", "detail"],
    },
    pipeline_silent: {
      says: "all answers on a pipeline stalled, and at least one of its engines did not answer",
      fields: ["first", "lost", "answers", "silent_ms"],
    },
    first_engine_away: {
      says: "the first engine of an answer's pipeline does not answer",
      fields: ["id", "request"],
    },
    stage_away: {
      says: "a later stage of an answer's pipeline does not answer",
      fields: ["id", "address", "request"],
    },
    class_level: {
      says: "requests of a class are admitted up to another share of the engines' memory, since `reserve` of the capacity is kept for more urgent classes; `waiting` and `held` are the class's tokens at all instances",
      fields: [
        "service",
        "priority",
        "load_limit",
        "reserve",
        "waiting",
        "held",
      ],
    },
    limited: {
      says: "a request was refused because its organisation reached its limit",
      fields: ["request", "organisation"],
    },
  },
  "Answers and calls of the product's own interface": {
    answer_ended: {
      says: "an answer ended",
      fields: [
        "request",
        "caller_request",
        "organisation",
        "model",
        "outcome",
        "version",
        "attempts",
        "code",
      ],
    },
    answer_resumed: {
      says: "the stream of an answer that a caller resumed has ended",
      fields: ["request", "organisation", "from", "outcome"],
    },
    answer_broke: {
      says: "an unhandled error ended an answer",
      fields: ["request", "reason"],
    },
    attempt_ended: {
      says: "an attempt ended without completing its answer; `delivered` counts the tokens sent so far",
      fields: ["request", "attempt", "delivered", "reason"],
    },
    move_broke: {
      says: "the migration of an answer could not be prepared; the answer continues on its engines",
      fields: ["request", "reason"],
    },
    cache_imported: {
      says: "an engine imported KV cache from another engine",
      fields: ["request", "attempt", "engine", "from", "bytes", "ms"],
    },
    cache_import_failed: {
      says: "an import of KV cache failed; the next attempt does not import from the engine in `from`",
      fields: ["request", "attempt", "engine", "from"],
    },
    service_call_ended: {
      says: "a call to a plain service ended",
      fields: [
        "request",
        "caller_request",
        "organisation",
        "service",
        "outcome",
        "code",
      ],
    },
    server_failed: {
      says: "a server of a plain service failed a call",
      fields: ["request", "server", "kind", "reason"],
    },
    claim_failed: {
      says: "a call was not sent because its claim could not be stored",
      fields: ["request", "reason"],
    },
    claim_not_settled: {
      says: "an attempt to record the result of a call failed",
      fields: ["request", "tries"],
    },
    claims_removed: { says: "expired claims were removed", fields: ["count"] },
    ends_handed_over: {
      says: "a stopping instance handed unrecorded results of calls to other instances",
      fields: ["given", "left"],
    },
    ends_lost: {
      says: "results of calls could be neither recorded nor handed over",
      fields: ["count"],
    },
  },
  "Backend servers": {
    server_seen: {
      says: "a server is new or has restarted",
      fields: ["id", "address", "domain", "started_at"],
    },
    server_layers: {
      says: "the layers that an engine holds have changed",
      fields: ["id", "from", "to"],
    },
    server_leaving: {
      says: "a server is leaving and gets no new work",
      fields: ["id", "address", "server"],
    },
    request_rejected: {
      says: "a server did not run a request; it wants no further ones for `retry_after_s`, if named",
      fields: ["id", "retry_after_s"],
    },
    server_backoff: {
      says: "a server asked for no requests from this instance for a time, and gets none",
      fields: ["id", "for_ms"],
    },
    request_limit: {
      says: "a server named the requests a second that it takes from all instances together; this instance uses `share` of them",
      fields: ["id", "per_second", "share"],
    },
    request_limit_lifted: {
      says: "a server no longer names a limit of requests",
      fields: ["id"],
    },
    restrictions_unreadable: {
      says: "what a peer said of the limits and backoffs of servers is malformed and was ignored in part or whole",
      fields: ["peer", "reason"],
    },
    server_returned: {
      says: "a server that was leaving accepts work again",
      fields: ["server"],
    },
    server_gone: {
      says: "a server was removed from the list of servers",
      fields: ["id", "address"],
    },
    server_suspected: {
      says: "a server failed or did not answer; it gets no new work",
      fields: ["id", "reason"],
    },
    helper_lost: {
      says: "an instance stopped answering while it handled requests for this one",
      fields: ["instance", "requests"],
    },
    service_cut_off: {
      says: "no server of a service accepts connections from this instance; `servers` are in the list",
      fields: ["service", "servers"],
    },
    service_reached_again: {
      says: "servers of a service accept connections again",
      fields: ["service", "after_ms"],
    },
    server_not_answering: {
      says: "probes of a suspected server failed as well; its layers are placed elsewhere",
      fields: ["id", "misses"],
    },
    request_dropped: {
      says: "an engine responds but dropped a request without an answer; the request goes elsewhere",
      fields: ["id", "request"],
    },
    engine_slow: {
      says: "an engine reports to be slower than its kind; it gets fewer answers",
      fields: ["id", "slowdown"],
    },
    engine_no_longer_slow: {
      says: "an engine is as fast as its kind again, or does not answer",
      fields: ["id"],
    },
    engine_ejected: {
      says: "an engine answered with errors, though it reports as usual; it gets no answers for a while",
      fields: ["id", "for_ms"],
    },
    server_back: {
      says: "a suspected server answered a probe",
      fields: ["id", "after_ms"],
    },
    store_objects_unreadable: {
      says: "objects in an answer of the store are no objects and were ignored",
      fields: ["unreadable"],
    },
    server_entry_unreadable: {
      says: "a server's entry is invalid and was ignored",
      fields: ["id", "reason"],
    },
    domain_suspected: {
      says: "several engines of a failure domain stopped answering; the others are probed",
      fields: ["domain"],
    },
    engine_heard: {
      says: "an engine that was not usable reported its state",
      fields: ["engine"],
    },
    engine_lost: {
      says: "an engine is considered lost until it reports its state",
      fields: ["engine"],
    },
    load_failed: {
      says: "weights could not be loaded; the load is retried",
      fields: ["engine", "version", "kind", "reason"],
    },
  },
  "Placement of layers": {
    layers_ordered: {
      says: "an engine was ordered to hold layers; `answer` is the outcome",
      fields: [
        "id",
        "from",
        "to",
        "held_from",
        "held_to",
        "order_count",
        "fencing_number",
        "answer",
        "detail",
      ],
    },
    layers_held: {
      says: "an engine reports that it holds the layers of its order",
      fields: ["id", "from", "to", "took_ms"],
    },
    order_lost: {
      says: "an order to an engine did not take effect and was dropped",
      fields: ["id", "from", "to"],
    },
    order_failed: {
      says: "an order to an engine failed",
      fields: ["engine", "kind", "reason"],
    },
    placement_planned: {
      says: "a placement plan was computed",
      fields: ["domain", "pipelines", "moved_megabytes", "took_ms"],
    },
    placement_short: {
      says: "the engines of a domain lack capacity for a model, its spare pipeline or a further version",
      fields: ["domain", "model", "kind"],
    },
    lease_held: {
      says: "this instance acquired the lease that allows it to order the engines of a domain",
      fields: ["domain", "fencing_number"],
    },
    lease_released: {
      says: "this instance released its lease of a domain",
      fields: ["domain"],
    },
    lease_write: {
      says: "a write of a lease failed",
      fields: ["domain", "kind"],
    },
    bad_lease: {
      says: "a lease in the store is invalid",
      fields: ["key", "reason"],
    },
  },
  "Configuration and release notes": {
    configuration_in_force: {
      says: "this instance applied a configuration",
      fields: ["version", "previous", "routes", "services", "organisations"],
    },
    configuration_unreadable: {
      says: "a configuration is invalid; the previous one stays in force",
      fields: ["reason"],
    },
    configuration_entry_unreadable: {
      says: "a part of a configuration is invalid and was skipped",
      fields: ["reason", "what", "version"],
    },
    note_recorded: {
      says: "a release note is recorded in the store",
      fields: ["note", "repeated"],
    },
    note_applied: {
      says: "this instance applied a release note",
      fields: ["note", "delay_ms"],
    },
    contact_made: {
      says: "the applied release note is confirmed as current; serving begins",
      fields: ["note"],
    },
    contact_lapsed: {
      says: "the release note was not confirmed as current in time; serving stops",
      fields: ["note"],
    },
    bad_head_object: {
      says: "the object with the current release note is invalid",
      fields: ["reason"],
    },
    process_paused: {
      says: "the process did not run for a while",
      fields: ["gap_ms"],
    },
  },
  Store: {
    store_away: {
      says: "calls to the store began to fail",
      fields: ["prefix", "kind", "detail"],
    },
    store_back: {
      says: "calls to the store succeed again",
      fields: ["prefix", "failures"],
    },
    watch_failed: {
      says: "a watch of the store failed",
      fields: ["reason", "failures"],
    },
  },
  Instances: {
    instance_seen: {
      says: "another instance's object was read for the first time",
      fields: ["key"],
    },
    presence_unreadable: {
      says: "an instance's object, or a relay's list of them, is malformed and was ignored",
      fields: ["key", "reason"],
    },
    relay_followed: {
      says: "changes in the store are now received through this peer",
      fields: ["peer"],
    },
    relay_passed_over: {
      says: "a peer is not used as relay; the store is read directly until a relay is followed",
      fields: ["peer", "reason"],
    },
    peer_datagram_unreadable: {
      says: "a datagram that is not a valid message between instances was ignored",
      fields: ["bytes"],
    },
    peer_datagram_outdated: {
      says: "a datagram from an earlier start of a peer was ignored; if they continue, the peer's clock was set back",
      fields: ["bytes"],
    },
    instance_forgotten: {
      says: "an instance's object that had stopped changing was removed",
      fields: ["key"],
    },
    news_from_peer: {
      says: "a peer had a newer copy of the objects under a prefix",
      fields: ["peer", "prefix", "from", "to"],
    },
    news_unreadable: {
      says: "a peer's copy of the objects is invalid",
      fields: ["peer", "reason"],
    },
    listed: {
      says: "this instance was added to the register",
      fields: ["instance"],
    },
    pruned: {
      says: "instances that have ended were removed from the register",
      fields: ["count"],
    },
    bad_registry: { says: "the register is invalid", fields: ["key"] },
    peer_reach: {
      says: "the way in which a peer is reached has changed",
      fields: ["peer", "reach"],
    },
    peer_alive: {
      says: "a peer is alive again",
      fields: ["peer", "domain", "incarnation"],
    },
    peer_suspect: {
      says: "a peer did not answer probes and is suspected",
      fields: ["peer", "domain", "incarnation"],
    },
    peer_dead: {
      says: "a suspected peer did not refute the suspicion in time and is considered dead",
      fields: ["peer", "domain", "incarnation"],
    },
    peer_left: {
      says: "a peer has left in a planned stop",
      fields: ["peer", "domain", "incarnation"],
    },
    peer_joined: {
      says: "a peer joined or restarted",
      fields: ["peer", "domain", "incarnation"],
    },
    suspicion_refuted: {
      says: "this instance refuted a report about itself; `status` is the reported state",
      fields: ["status", "revision"],
    },
    replaced_by_successor: {
      says: "peers report a later incarnation of this instance: a newer process, or an earlier one if the clock was set back",
      fields: ["incarnation", "address"],
    },
    datagram_dropped: {
      says: "a datagram was rejected",
      fields: ["reason", "bytes"],
    },
    send_failed: { says: "a datagram could not be sent", fields: ["reason"] },
    socket_error: {
      says: "the socket for datagrams reported an error",
      fields: ["reason"],
    },
  },
} as const satisfies Record<string, Record<string, LogEvent>>;

type Groups = typeof EVENT_GROUPS;
/** Intersection of all groups: maps each event name to its entry. */
type Events = {
  [Group in keyof Groups]: (event: Groups[Group]) => void;
}[keyof Groups] extends (event: infer All) => void
  ? All
  : never;

/** Names of all events. */
export type EventName = keyof Events & string;

/** Names of the fields of an event. */
export type EventField<Name extends EventName> = Events[Name] extends {
  readonly fields: readonly (infer Field extends string)[];
}
  ? Field
  : never;

/** All events, by name. */
export const EVENTS: ReadonlyMap<string, LogEvent> = new Map(
  Object.values(EVENT_GROUPS).flatMap((group) => Object.entries(group)),
);

/** Renders the operators' page of events as Markdown. */
export function renderEventPage(): string {
  const groups = Object.entries(EVENT_GROUPS).map(
    ([title, events]) => `## ${title}\n\n${renderTable(events)}\n`,
  );
  const head =
    "# Events in the logs\n\nGenerated from the event catalogue in `packages/telemetry`; a test compares the two.\n";
  return [head, ...groups].join("\n");
}

/** Pads each column to its widest cell, as the Markdown formatter does. */
function renderTable(events: Readonly<Record<string, LogEvent>>): string {
  const titles = ["event", "says", "fields"];
  const rows = Object.entries(events).map(([name, { says, fields }]) => [
    `\`${name}\``,
    says,
    fields.map((field) => `\`${field}\``).join(", "),
  ]);
  const widths = titles.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => (row[column] ?? "").length)),
  );
  const rule = widths.map((width) => "-".repeat(width));
  return [titles, rule, ...rows]
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)))
    .map((row) => `| ${row.join(" | ")} |`)
    .join("\n");
}
