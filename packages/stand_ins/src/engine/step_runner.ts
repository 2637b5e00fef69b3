/** Runs one step of one sequence and enters it into the run journal. */
import { nextStep, type Outgoing, returnTo } from "./outgoing.ts";
import type { RunJournal } from "./run_journal.ts";
import {
  nextPosition,
  runStage,
  type Sequence,
  takeOutputs,
} from "./sequence.ts";
import type { SequenceTable } from "./sequence_table.ts";
import type { StepMessage } from "./step.ts";

export interface StepRunnerOptions {
  readonly engine: string;
  readonly incarnation: number;
  readonly table: SequenceTable;
  readonly journal: RunJournal | null;
}

/** Creates a runner; it returns what goes out after a step. */
export function createStepRunner(
  options: StepRunnerOptions,
): (step: StepMessage) => Outgoing[] {
  const { engine, incarnation, table, journal } = options;

  function record(sequence: Sequence, step: StepMessage): void {
    const { request, stage, imported } = sequence;
    sequence.imported = null;
    const layers = request.stages[stage]?.layers ?? { from: 0, to: 0 };
    journal?.append([
      {
        engine,
        incarnation,
        requestId: request.requestId,
        attempt: request.attempt,
        ...layers,
        position: step.position,
        count: step.inputs.length,
        at: performance.timeOrigin + performance.now(),
        ...(imported ? { imported } : {}),
      },
    ]);
  }

  return (step) => {
    const sequence = table.running(step.requestId);
    if (sequence?.request.attempt !== step.attempt) return [];
    if (step.position !== nextPosition(sequence)) return [];
    const { request: answer, stage } = sequence;
    const outputs = runStage(sequence, step.inputs);
    record(sequence, step);
    const next = answer.stages[stage + 1];
    if (next) {
      const message = nextStep(step, { answer, outputs });
      return [{ to: next.address, message }];
    }
    const result = takeOutputs(sequence, outputs);
    return result ? returnTo(answer, result) : [];
  };
}
