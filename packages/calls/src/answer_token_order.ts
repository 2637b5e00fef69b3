/** Puts the tokens of an answer in order, in bounded memory. */
import type { EngineEvent } from "@rosemarypin/schemas";

/** Tokens that may wait for an earlier one. */
const WAITING_AT_MOST = 64;

export type TokenEvent = Extract<EngineEvent, { type: "token" }>;

/** What became of a token. */
export type OrderResult =
  /** These come next, in order; none when the token is early or a repeat. */
  | { readonly kind: "next"; readonly tokens: readonly TokenEvent[] }
  /** An earlier token is lost: too many wait for it. */
  | { readonly kind: "overflow" };

/** Takes tokens that come late, twice or out of order. */
export interface TokenOrder {
  offer(token: TokenEvent): OrderResult;
}

/** Creates the order of one attempt, whose first token is `firstIndex`. */
export function createTokenOrder(firstIndex: number): TokenOrder {
  const waiting = new Map<number, TokenEvent>();
  let nextIndex = firstIndex;

  return {
    offer(token) {
      if (token.index < nextIndex) return { kind: "next", tokens: [] };
      if (token.index === nextIndex && waiting.size === 0) {
        nextIndex += 1;
        return { kind: "next", tokens: [token] };
      }
      waiting.set(token.index, token);
      const tokens: TokenEvent[] = [];
      for (
        let next = waiting.get(nextIndex);
        next;
        next = waiting.get(nextIndex)
      ) {
        waiting.delete(nextIndex);
        tokens.push(next);
        nextIndex += 1;
      }
      if (waiting.size > WAITING_AT_MOST) return { kind: "overflow" };
      return { kind: "next", tokens };
    },
  };
}
