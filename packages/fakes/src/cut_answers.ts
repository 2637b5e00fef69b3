/** A server whose answers break off at any byte. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Time for what was written to be read before a reset drops it. */
const READ_MS = 5;

export interface CutAnswer {
  readonly version: "1.0" | "1.1";
  /**
   * What marks the end of the body: a length, chunks, or nothing; `identity` is
   * an encoding without chunks.
   */
  readonly framing: "length" | "chunks" | "identity" | "connection";
  readonly status: number;
  readonly body: string;
  /** Whether the answer has a body; those to HEAD requests have none. */
  readonly hasBody: boolean;
  /** Bytes that are not sent. */
  readonly missingBytes: number;
  readonly end: "close" | "reset";
  /** Whether interim answers come before it. */
  readonly hasInterim?: boolean;
  /** Whether trailers follow its chunks. */
  readonly hasTrailers?: boolean;
}

/** What a reader can know of the answer. */
export interface SentAnswer {
  /** Bytes of the body that were sent, without framing. */
  readonly body: string;
  /** Whether the answer was sent whole and marked its end. */
  readonly isMarkedWhole: boolean;
}

const INTERIM_ANSWERS =
  "HTTP/1.1 102 Processing\r\n\r\n" +
  "HTTP/1.1 103 Early Hints\r\nlink: </hint>\r\n\r\n";
const TRAILERS = "x-sum: 1\r\n";

interface EncodedAnswer {
  readonly head: string;
  /** Body with its framing. */
  readonly rest: string;
}

function encode(answer: CutAnswer): EncodedAnswer {
  const { version, framing, status, body, hasBody } = answer;
  const interim = answer.hasInterim ? INTERIM_ANSWERS : "";
  const head = (header: string) =>
    `${interim}HTTP/${version} ${status} Status\r\ncontent-type: text/plain\r\n${header}\r\n`;
  if (!hasBody) return { head: head(""), rest: "" };
  if (framing === "connection") return { head: head(""), rest: body };
  if (framing === "identity")
    return { head: head("transfer-encoding: identity\r\n"), rest: body };
  if (framing === "length")
    return { head: head(`content-length: ${body.length}\r\n`), rest: body };
  const middle = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, middle), body.slice(middle)]
    .filter((chunk) => chunk !== "")
    .map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  const trailers = answer.hasTrailers ? TRAILERS : "";
  const rest = `${chunks.join("")}0\r\n${trailers}\r\n`;
  return { head: head("transfer-encoding: chunked\r\n"), rest };
}

function sentPart({ head, rest }: EncodedAnswer, missing: number): string {
  const whole = head + rest;
  return whole.slice(0, Math.max(0, whole.length - missing));
}

/** What the cut answer tells a reader who reads all of it. */
export function describeCut(answer: CutAnswer): SentAnswer {
  const encoded = encode(answer);
  const { head, rest } = encoded;
  const sent = sentPart(encoded, answer.missingBytes);
  const { hasBody, framing, body } = answer;
  const hasMark = !hasBody || framing === "length" || framing === "chunks";
  return {
    body: hasMark ? body : sent.slice(head.length),
    isMarkedWhole: hasMark && sent.length === head.length + rest.length,
  };
}

/**
 * Calls the listener once this process has read a part of an answer's body. A
 * reset that arrives with the part may look like an ordinary end to its reader.
 */
export function afterBodyPart(listener: () => void): void {
  const channel = "undici:request:bodyChunkReceived";
  subscribe(channel, function onPart() {
    unsubscribe(channel, onPart);
    setImmediate(listener);
  });
}

/** Starts a server that answers each request as `answerOf` says. */
export async function startCuttingServer(
  answerOf: () => CutAnswer,
): Promise<{ readonly port: number; close(): void }> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", () => {
      const answer = answerOf();
      const sent = sentPart(encode(answer), answer.missingBytes);
      if (answer.end === "close") socket.end(sent);
      else
        socket.write(sent, () =>
          setTimeout(() => socket.resetAndDestroy(), READ_MS),
        );
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
