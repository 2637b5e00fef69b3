/** Events that an answer delivers to its caller. */
import type { AnswerProvenance } from "@rosemarypin/schemas";
import type { CallFailure } from "./call_failure.ts";

/** An event of an answer; the last one is `done` or `failed`. */
export type AnswerEvent =
  | {
      readonly type: "token";
      readonly index: number;
      readonly text: string;
      /** Engine of the first stage, which stores the answer for a resume. */
      readonly engine: string;
    }
  | {
      readonly type: "done";
      readonly reason: "stop" | "length";
      readonly provenance: AnswerProvenance;
    }
  | { readonly type: "failed"; readonly failure: CallFailure };
