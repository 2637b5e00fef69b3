/** A caller that sends requests ahead of their answers on one connection. */
import type { Socket } from "node:net";
import {
  type CallerAnswer,
  type CallOptions,
  connectTo,
  createAnswerReader,
  encodeHead,
  HEADERS,
  PATIENCE_MS,
  type ReadAnswer,
} from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";
import type { SoakKind } from "./soak_request.ts";
import { sleep } from "./timing.ts";

export const AHEAD_KINDS: readonly [SoakKind, ...SoakKind[]] = [
  "order",
  "order",
  "lookup",
  "stream",
];
const MAX_WRITE_PAUSE_MS = 100;

export interface AheadOptions extends CallOptions {
  readonly id: string;
  readonly deadlineMs: number;
}

export interface AheadAnswer {
  readonly answer: CallerAnswer;
  /**
   * Whether the answer to one before it on the connection is missing, ends
   * early or announces the close.
   */
  readonly isBehindEnd: boolean;
}

export interface AheadConnection {
  isOpen(): boolean;
  /** Sends requests in one write or in two, and waits for their answers. */
  send(
    requests: readonly AheadOptions[],
    random: SeededRandom,
  ): Promise<AheadAnswer[]>;
  close(): void;
}

/** Opens a connection that is used until it is closed by the other side. */
export function openAheadConnection(url: string): AheadConnection {
  const socket = connectTo(url);
  socket.setNoDelay(true);
  const reader = createAnswerReader(socket);
  let isRefused = false;
  let isEnded = false;
  let answered = 0;
  socket.once("error", (error: NodeJS.ErrnoException) => {
    isRefused = error.code === "ECONNREFUSED";
  });

  function toAnswer(
    answer: ReadAnswer | undefined,
    sentAt: number,
  ): AheadAnswer {
    const isBehindEnd = isEnded;
    const whole = answer?.end === "marked";
    isEnded ||= !whole || answer.announcesClose;
    const callerAnswer = {
      status: answer?.status ?? 0,
      headers: answer?.headers ?? {},
      body: answer?.body ?? "",
      whole,
      tookMs: (answer?.at ?? performance.now()) - sentAt,
      refused: isRefused,
      onKeptConnection: answered > 0,
    };
    answered += 1;
    return { answer: callerAnswer, isBehindEnd };
  }

  return {
    // Also after an answer that announces the close, until it happens.
    isOpen: () => !socket.destroyed && socket.writable,
    async send(requests, random) {
      const sentAt = performance.now();
      const longestMs = Math.max(...requests.map((each) => each.deadlineMs));
      const timer = setTimeout(
        () => socket.destroy(),
        longestMs + PATIENCE_MS + MAX_WRITE_PAUSE_MS,
      );
      const answering = reader.read(requests.length);
      await write(socket, requests.map(encode).join(""), random);
      const answers = await answering;
      clearTimeout(timer);
      return requests.map((_, index) => toAnswer(answers[index], sentAt));
    },
    close: () => socket.destroy(),
  };
}

async function write(
  socket: Socket,
  text: string,
  random: SeededRandom,
): Promise<void> {
  const firstLength = random.pick([
    text.length,
    random.between(1, text.length),
  ]);
  socket.write(text.slice(0, firstLength));
  if (firstLength === text.length) return;
  await sleep(random.between(0, MAX_WRITE_PAUSE_MS));
  if (socket.writable) socket.write(text.slice(firstLength));
}

function encode({ key, body = "", ...options }: AheadOptions): string {
  const headers = {
    ...(key ? { [HEADERS.key]: key } : {}),
    ...options.headers,
  };
  const length = `Content-Length: ${Buffer.byteLength(body)}`;
  return encodeHead({ ...options, headers }, [length]) + body;
}
