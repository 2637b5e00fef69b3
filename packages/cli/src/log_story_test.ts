import { describe, expect, it } from "vitest";
import { readLog, tellStory } from "./log_story.ts";

const log = `
not an event
time=2026-01-01T00:00:01.000Z scope=rosemarypin:store:warn event=store_away prefix=servers/ detail="read ECONNRESET"
time=2026-01-01T00:00:02.000Z scope=rosemarypin:streams:info event=request_sent request=r-1 route=ask id=e-1 stages=e-1,e-2 left_ms=900
time=2026-01-01T00:00:02.100Z scope=rosemarypin:streams:info event=request_sent request=r-2 route=ask id=e-1 stages=e-1 left_ms=900
time=2026-01-01T00:00:02.400Z scope=rosemarypin:failures:warn event=server_suspected id=e-2 reason=silent
time=2026-01-01T00:00:02.500Z scope=rosemarypin:failures:warn event=server_suspected id=e-9 reason=silent
time=2026-01-01T00:00:03.000Z scope=rosemarypin:callers:warn event=request_ended request=r-1 status=0 outcome=cut reason=stage_away
time=2026-01-01T00:00:30.000Z scope=rosemarypin:failures:info event=server_back id=e-2
`;

function told(id: string): string[] {
  return tellStory(readLog("i-1.log", log), id).map(({ role, event, fields }) =>
    `${role} ${event} ${fields.id ?? ""}`.trim(),
  );
}

describe("the story of a request", () => {
  it("holds its lines, and what the instance learned of its servers", () => {
    expect(told("r-1")).toEqual([
      "instance store_away",
      "subject request_sent e-1",
      "server server_suspected e-2",
      "subject request_ended",
    ]);
  });

  it("of a server holds the requests that passed through it", () => {
    expect(told("e-2")).toEqual([
      "instance store_away",
      "subject request_sent e-1",
      "subject server_suspected e-2",
      "subject server_back e-2",
    ]);
  });

  it("is empty for an id that no line names", () => {
    expect(told("r-3")).toEqual([]);
  });

  it("takes a line's source from what stands before it", () => {
    const [line] = readLog(
      "all.log",
      "  1.5 front-1 time=2026-01-01T00:00:01Z event=x",
    );
    expect(line?.source).toBe("front-1");
  });
});
