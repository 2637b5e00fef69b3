/** Messages between the engines of one pipeline. */
import type { AttemptRequest, LostCause } from "@rosemarypin/schemas";

/** Work for a stage: the outputs of the stage before it. */
export interface StepMessage {
  readonly type: "step";
  readonly requestId: string;
  readonly attempt: number;
  readonly stage: number;
  /** Position of the first input. */
  readonly position: number;
  readonly inputs: readonly number[];
  /** When the step was to arrive, in milliseconds since the epoch. */
  readonly dueAt?: number;
  /** Sent with the first step, which opens the sequence. */
  readonly open?: AttemptRequest;
}

/** Message of the last stage, or of a failing one, to the first stage. */
export interface ReturnMessage {
  readonly type: "return";
  readonly requestId: string;
  readonly attempt: number;
  readonly result:
    | {
        readonly kind: "token";
        readonly index: number;
        readonly text: string;
        readonly digest: string;
        readonly isStop: boolean;
      }
    | {
        readonly kind: "imported";
        readonly stage: number;
        readonly bytes: number;
        readonly durationMs: number;
      }
    | {
        readonly kind: "lost";
        readonly stage: number;
        readonly cause: LostCause;
        readonly reason: string;
      };
}

/** Stops a sequence on a later stage; its KV cache is kept for a while. */
export interface CloseMessage {
  readonly type: "close";
  readonly requestId: string;
  readonly attempt: number;
  /** Whether the KV cache is of no more use. */
  readonly drop: boolean;
}

/** What an engine says to the messages of another. */
export interface StepsReply {
  /** Requests of which the engine has no KV cache. */
  readonly unknown: readonly string[];
}

export type EngineMessage = StepMessage | ReturnMessage | CloseMessage;
