/** What a caller of an answer sees, in order. */
import type { AnswerProvenance } from "@rosemarypin/schemas";
import type { CallFailure } from "./call_failure.ts";

/** One event of an answer; the last is `done` or `failed`. */
export type AnswerEvent =
  | {
      readonly type: "token";
      readonly index: number;
      readonly text: string;
      /** Engine of the first stage, from which the answer can be resumed. */
      readonly engine: string;
    }
  | {
      readonly type: "done";
      readonly reason: "stop" | "length";
      readonly provenance: AnswerProvenance;
    }
  | { readonly type: "failed"; readonly failure: CallFailure };
