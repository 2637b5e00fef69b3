/** Callers that stream answers all the time and note when each token came. */
import {
  KANEM_LAYERS,
  type StreamedAnswer,
  streamAnswer,
} from "@rosemarypin/launcher";
import { type ExpectedAnswer, expectedAnswer } from "@rosemarypin/stand_ins";

const PROMPT = "the header does not lift";
const MAX_TOKENS = 120;
/** Pause after a refusal, so that a broken round does not spin. */
const REFUSED_PAUSE_MS = 20;

/** One answer as its caller saw it. */
export interface SeenAnswer {
  readonly answer: StreamedAnswer;
  /** When each token came, by this process's clock. */
  readonly tokenTimes: readonly number[];
}

export interface Traffic {
  /** Ends all callers and gives what they saw. */
  stop(): Promise<readonly SeenAnswer[]>;
}

/** Starts `callers` callers for each of `baseUrls`. */
export function startTraffic(options: {
  readonly baseUrls: readonly string[];
  readonly callers: number;
  readonly key: string;
  readonly model: string;
}): Traffic {
  const seen: SeenAnswer[] = [];
  let stopped = false;
  const callers = options.baseUrls.flatMap((baseUrl) =>
    Array.from({ length: options.callers }, () => call(baseUrl)),
  );

  async function call(baseUrl: string): Promise<void> {
    while (!stopped) {
      const tokenTimes: number[] = [];
      const answer = await streamAnswer({
        baseUrl,
        key: options.key,
        model: options.model,
        prompt: PROMPT,
        maxTokens: MAX_TOKENS,
        onToken: () => tokenTimes.push(performance.now()),
      });
      seen.push({ answer, tokenTimes });
      if (answer.tokens.length > 0) continue;
      await new Promise((resolve) => setTimeout(resolve, REFUSED_PAUSE_MS));
    }
  }

  return {
    async stop() {
      stopped = true;
      await Promise.all(callers);
      return seen;
    },
  };
}

/** Tells from its tokens which version gave an answer. */
export function createVersionFinder(
  model: string,
  versions: readonly string[],
) {
  const expected = new Map<string, ExpectedAnswer>(
    versions.map((version) => [
      version,
      expectedAnswer({
        weights: { model, version },
        layers: KANEM_LAYERS,
        promptTokens: PROMPT.split(" "),
        maxTokens: MAX_TOKENS,
      }),
    ]),
  );

  /** Every version that these tokens fit; more than one if they are few. */
  return (tokens: readonly string[]): readonly string[] =>
    versions.filter((version) => {
      const whole = expected.get(version)?.tokens ?? [];
      return tokens.every((token, index) => token === whole[index]);
    });
}
