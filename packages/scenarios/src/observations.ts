/** What a run saw: the only thing that promises are judged by. */
import type { StreamedAnswer } from "@rosemarypin/launcher";
import type { NotePhase, Outcome } from "@rosemarypin/schemas";

/** An answer with the times of its tokens, in milliseconds of the run. */
export interface ObservedAnswer {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly instance: string;
  /** Where the caller took the broken answer up again. */
  readonly resumedOn?: string;
  readonly startedAt: number;
  readonly lastTokenAt: number;
  readonly endedAt: number;
  readonly answer: StreamedAnswer;
}

/** A call that may not be repeated, with the response to its caller. */
export interface ObservedOrder {
  readonly idempotencyKey: string;
  readonly told: "answered" | Outcome | "broken";
}

/** The note that an instance said it applies. */
export interface ObservedNote {
  readonly instance: string;
  readonly incarnation: number;
  readonly note: number;
}

/**
 * A note that was reported accepted or in force: from then on nothing that it
 * withdrew may answer.
 */
export interface ObservedClaim {
  readonly name: string;
  readonly phase: NotePhase;
  readonly at: number;
  /** Versions that the note withdrew. */
  readonly withdrawnVersions: readonly string[];
}

/** A note that withdraws versions, with the response to its publisher. */
export interface RecordedRecall {
  readonly name: string;
  readonly at: number;
  readonly withdrawnVersions: readonly string[];
}

/** An instance that was cut off, until it was healed. */
export interface ObservedCut {
  readonly instance: string;
  readonly from: readonly string[];
  readonly at: number;
  healedAt: number;
}

/** A time in which the platform's store was down. */
export interface ObservedOutage {
  readonly at: number;
  endedAt: number;
}

/** A server that said it was leaving, until it was started anew. */
export interface ObservedLeaving {
  readonly server: string;
  readonly at: number;
  startedAgainAt: number;
}

/** An instance that was killed, until it was started again. */
export interface ObservedKill {
  readonly instance: string;
  readonly at: number;
  startedAgainAt: number;
}

/** The first work that a backend server did for one request. */
export interface ObservedWork {
  readonly server: string;
  readonly requestId: string;
  readonly at: number;
}

/** One line of the timeline. */
export interface TimelineEntry {
  readonly at: number;
  readonly what: string;
}

/** All that a run saw. */
export interface Observations {
  readonly model: string;
  readonly layers: number;
  readonly answers: ObservedAnswer[];
  readonly orders: ObservedOrder[];
  readonly notes: ObservedNote[];
  readonly claims: ObservedClaim[];
  readonly timeline: TimelineEntry[];
  /** Keys that the services' journals hold, once for each run. */
  readonly journal: string[];
  readonly leavings: ObservedLeaving[];
  readonly recalls: RecordedRecall[];
  readonly cuts: ObservedCut[];
  readonly outages: ObservedOutage[];
  /** How long instances serve without contact, in milliseconds. */
  readonly allowanceMs: number;
  readonly kills: ObservedKill[];
  /** Of engines and services alike, in the order in which it began. */
  readonly work: ObservedWork[];
}

/** Observations of a run that has seen nothing yet. */
export function createObservations(
  run: Pick<Observations, "model" | "layers" | "allowanceMs">,
): Observations {
  return {
    ...run,
    answers: [],
    orders: [],
    notes: [],
    claims: [],
    timeline: [],
    journal: [],
    leavings: [],
    kills: [],
    recalls: [],
    cuts: [],
    outages: [],
    work: [],
  };
}
