/** Reorders the tokens of an attempt in bounded memory. */
import type { EngineEvent } from "@rosemarypin/schemas";

/** Maximum number of tokens that are buffered behind a missing one. */
const MAX_WAITING_TOKENS = 64;

export type TokenEvent = Extract<EngineEvent, { type: "token" }>;

/** Result of offering a token. */
export type OrderResult =
  /** Tokens to deliver, in order; none for an early or repeated token. */
  | { readonly kind: "next"; readonly tokens: readonly TokenEvent[] }
  /** Too many tokens are buffered, so the missing one is assumed lost. */
  | { readonly kind: "overflow" };

/** Accepts late, repeated and reordered tokens; releases each once in order. */
export interface TokenOrder {
  offer(token: TokenEvent): OrderResult;
}

/** Creates the order of an attempt whose first token has `firstIndex`. */
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
      if (waiting.size > MAX_WAITING_TOKENS) return { kind: "overflow" };
      return { kind: "next", tokens };
    },
  };
}
