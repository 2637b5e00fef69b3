/** Whether a call's prompt may be sent to engines, at first and once more. */
import {
  PROMPT_QUARANTINED,
  type PromptQuarantine,
  type RunningPrompt,
  type SharedPrompt,
} from "../prompts/mod.ts";
import type { RunEnd } from "./stream_run.ts";

export interface PromptPermission {
  /** Whether engines have ended under a part of the prompt. */
  isRefused(): boolean;
  /** How the call ends if it is refused, and when it may come again. */
  refusal(): {
    readonly end: RunEnd;
    readonly retryAfterSeconds: number | null;
  };
  /** Whether the prompt may be sent now that there is a pipeline for it. */
  mayRun(): Promise<boolean>;
  /** Whether no engine may have ended because of the prompt. */
  mayRepeat(): boolean;
}

/** Creates the permission of one call. */
export function createPromptPermission({
  quarantine,
  prompt,
  sharedPrompt,
}: {
  readonly quarantine: PromptQuarantine;
  readonly prompt: RunningPrompt;
  readonly sharedPrompt: SharedPrompt;
}): PromptPermission {
  /** Whether this call was chosen to find out if its prompt ends engines. */
  let isTrial = false;

  return {
    isRefused: () =>
      !isTrial && quarantine.decide(sharedPrompt).kind === "refused",
    refusal() {
      const decision = quarantine.decide(sharedPrompt);
      return {
        end: { kind: "not_run", detail: PROMPT_QUARANTINED, wasSent: false },
        retryAfterSeconds:
          decision.kind === "accepted" ? null : decision.retryAfterSeconds,
      };
    },
    async mayRun() {
      const { kind } = quarantine.decide(sharedPrompt);
      if (isTrial || kind === "accepted") return true;
      isTrial =
        kind === "trial_due" && (await quarantine.takeTrial(sharedPrompt));
      return isTrial;
    },
    mayRepeat: () => prompt.isSound() || quarantine.mayRepeat(sharedPrompt),
  };
}
