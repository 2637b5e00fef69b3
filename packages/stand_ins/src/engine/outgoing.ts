/** Builds the messages that an engine sends to the others of a pipeline. */
import type { Address, AttemptRequest } from "@rosemarypin/schemas";
import { type Sequence, startPosition } from "./sequence.ts";
import type { EngineMessage, ReturnMessage, StepMessage } from "./step.ts";

/** A message and the engine that gets it. */
export interface Outgoing {
  readonly to: Address;
  readonly message: EngineMessage;
}

/** The step of the next stage, which may need only the last outputs. */
export function nextStep(
  step: StepMessage,
  options: {
    readonly answer: AttemptRequest;
    readonly outputs: readonly number[];
  },
): StepMessage {
  const { answer, outputs } = options;
  const stage = step.stage + 1;
  const start = startPosition(answer, stage);
  const skipped = Math.max(0, start - step.position);
  const position = step.position + skipped;
  const { requestId, attempt } = step;
  return {
    type: "step",
    requestId,
    attempt,
    stage,
    position,
    inputs: outputs.slice(skipped),
    ...(position === start ? { open: answer } : {}),
  };
}

/** A result for the first stage. */
export function returnTo(
  answer: AttemptRequest,
  result: ReturnMessage["result"],
): Outgoing[] {
  const { requestId, attempt, stages } = answer;
  const [first] = stages;
  if (!first) return [];
  const message: ReturnMessage = { type: "return", requestId, attempt, result };
  return [{ to: first.address, message }];
}

/** The end of an attempt, for all stages after this one. */
export function closeLaterStages(
  { request, stage }: Sequence,
  { drop }: { readonly drop: boolean },
): Outgoing[] {
  const { requestId, attempt } = request;
  return request.stages.slice(stage + 1).map(({ address }) => ({
    to: address,
    message: { type: "close", requestId, attempt, drop },
  }));
}
