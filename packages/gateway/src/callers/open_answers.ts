/** Answers in progress, until their bytes are handed to the kernel. */
import type { ServerResponse } from "node:http";
import { breakAnswerOff } from "./caller_answer.ts";

export interface OpenAnswers {
  count(): number;
  /** Counts an answer until `settled` has resolved for it. */
  add(response: ServerResponse): void;
  /** Resolves once an answer is flushed or cut, or if it never began. */
  settled(response: ServerResponse): Promise<void>;
  /** Breaks all of them off, so that none looks complete. */
  breakOff(): void;
}

/** Creates the count of one instance's answers. */
export function createOpenAnswers(): OpenAnswers {
  const responses = new Set<ServerResponse>();
  return {
    count: () => responses.size,
    add: (response) => void responses.add(response),
    async settled(response) {
      await flushed(response);
      responses.delete(response);
    },
    breakOff() {
      for (const response of responses) breakAnswerOff(response);
    },
  };
}

/**
 * Resolves once the end of an answer has left this process. The HTTP server
 * takes it for finished before, and would close its connection as idle.
 */
function flushed(response: ServerResponse): Promise<void> {
  const hasBegun = response.headersSent || response.writableEnded;
  const isOver = !hasBegun || response.writableFinished || response.destroyed;
  if (isOver) return Promise.resolve();
  const { socket } = response.req;
  // Answers to pipelined requests wait on the same connection.
  socket.setMaxListeners(0);
  return new Promise((resolve) => {
    function end(): void {
      response.off("finish", end);
      response.off("close", end);
      socket.off("close", end);
      resolve();
    }
    response.once("finish", end);
    response.once("close", end);
    socket.once("close", end);
  });
}
