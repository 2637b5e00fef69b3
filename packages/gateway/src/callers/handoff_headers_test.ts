import { describe, expect, it } from "vitest";
import { z } from "zod";
import { decodeHandoffTerms, encodeHandoffHeader } from "./handoff_headers.ts";

const TERMS = {
  from: "i-0",
  configurationVersion: 1,
  service: "model",
  deadlineMs: 18_000,
  maxAttempts: 2,
  lastEventId: null,
  takesRetry: false,
  failedServers: [],
};
const ARRIVAL = { arrival: "returning", elapsedMs: 2_000 } as const;

/** What an instance accepts that doesn't know of arrivals. */
const olderSchema = z.object({
  from: z.string(),
  configurationVersion: z.number(),
  service: z.string(),
  deadlineMs: z.number().positive(),
  maxAttempts: z.number().int().positive(),
  lastEventId: z.string().nullable(),
  takesRetry: z.boolean(),
  failedServers: z.array(z.string()),
});

describe("a request that is handed off", () => {
  it("keeps the arrival at its first instance", () => {
    const header = encodeHandoffHeader({ ...TERMS, arrival: ARRIVAL });
    expect(decodeHandoffTerms(header)?.arrival).toEqual(ARRIVAL);
  });

  it("keeps the time since it was accepted, unless that is invalid", () => {
    const times = [1_500, -1, 1e300, "1", null];
    const decoded = times.map((acceptedForMs) => {
      const content = JSON.stringify({ ...TERMS, acceptedForMs });
      return decodeHandoffTerms(encodeURIComponent(content))?.acceptedForMs;
    });
    expect(decoded).toEqual([1_500, ...times.slice(1).map(() => undefined)]);
  });

  it("is accepted from an instance of the older version", () => {
    const terms = decodeHandoffTerms(encodeHandoffHeader(TERMS));
    expect(terms).toEqual(TERMS);
    expect(terms?.arrival).toBeUndefined();
  });

  it("is accepted by an instance of the older version", () => {
    const header = encodeHandoffHeader({
      ...TERMS,
      acceptedForMs: 1_500,
      arrival: ARRIVAL,
    });
    const content = JSON.parse(decodeURIComponent(header));
    expect(olderSchema.parse(content)).toEqual(TERMS);
  });

  // Guards against requests that are refused although only their classification
  // can't be read.
  it.each([
    { ...ARRIVAL, arrival: "unheard-of" },
    { ...ARRIVAL, elapsedMs: -1 },
    { ...ARRIVAL, elapsedMs: 1e300 },
    { ...ARRIVAL, elapsedMs: null },
    { arrival: "returning" },
    "returning",
    null,
  ])("is accepted without the arrival %j", (arrival) => {
    const header = encodeURIComponent(JSON.stringify({ ...TERMS, arrival }));
    const terms = decodeHandoffTerms(header);
    expect(terms).toMatchObject(TERMS);
    expect(terms?.arrival).toBeUndefined();
  });
});
