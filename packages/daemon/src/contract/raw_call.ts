/** Calls written byte by byte, as no HTTP library would send them. */
import { connect } from "node:net";

/** What came back over one connection. */
export interface RawAnswer {
  /** Status of the first answer; `null` when the connection was only cut. */
  readonly status: number | null;
  /** Body of the first answer, parsed if it is JSON. */
  readonly body: unknown;
  readonly text: string;
  /** Parts that were left when the connection ended. */
  readonly unsent: number;
}

export interface RawCall {
  readonly port: number;
  /** Parts of the request, and pauses in milliseconds between them. */
  readonly parts: readonly (string | Buffer | number)[];
  /** Closes the connection once this text has come. */
  readonly leaveAfter?: string;
}

/** Sends the parts and reads until the server ends the connection. */
export async function rawCall(call: RawCall): Promise<RawAnswer> {
  const socket = connect(call.port, "127.0.0.1");
  // The server may cut the connection at any time: that is what is tested, so
  // an error is one way to end and no reason to throw, as `once` would.
  const closed = new Promise<void>((resolve) => {
    socket.once("close", () => resolve());
  });
  let text = "";
  socket.on("error", () => {});
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
    const isEnough = call.leaveAfter && text.includes(call.leaveAfter);
    if (isEnough) socket.destroy();
  });
  let unsent = call.parts.length;
  for (const part of call.parts) {
    if (socket.destroyed) break;
    unsent -= 1;
    if (typeof part === "number") {
      await new Promise((resolve) => setTimeout(resolve, part));
    } else {
      socket.write(part);
    }
  }
  await closed;
  return { ...parseAnswer(text), unsent };
}

function parseAnswer(text: string): Omit<RawAnswer, "unsent"> {
  const final = text.replace(/^HTTP\/1\.1 100 [^\r]*\r\n\r\n/, "");
  const status = /^HTTP\/1\.1 (\d{3})/.exec(final)?.[1];
  const [, body = ""] = final.split(/\r\n\r\n(.*)/s);
  return {
    status: status === undefined ? null : Number(status),
    body: parseJson(body),
    text,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
