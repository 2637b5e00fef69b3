import { describe, expect, it } from "vitest";
import { readLog } from "./log_story.ts";
import { accountForLosses } from "./loss_account.ts";

const AT = Date.parse("2026-01-01T10:00:00.000Z");

/** Lines of one instance, each at so many milliseconds. */
function logOf(source: string, lines: readonly [number, string][]) {
  const text = lines.map(([ms, pairs]) => {
    const time = new Date(AT + ms).toISOString();
    return `time=${time} scope=rosemarypin:x:info ${pairs}`;
  });
  return readLog(source, text.join("\n"));
}

function ended(request: string, pairs: string): string {
  return `event=request_ended request=${request} status=200 ${pairs}`;
}

const LINES = [
  ...logOf("one", [
    [0, "event=request_sent request=r1 id=e1 stages=e1,e2"],
    [10, "event=request_sent request=r2 id=e1 stages=e1,e2"],
    [20, "event=request_sent request=r3 id=e3 stages=e3,e4"],
    [30, "event=request_sent request=r4 id=e3 stages=e3,e4"],
    [900, "event=pipeline_silent first=e1 lost=e2 answers=2 silent_ms=90"],
    [
      2_000,
      ended(
        "r1",
        "outcome=answered late=pause total_ms=2000 pause_ms=500 pause_at_ms=800",
      ),
    ],
    [
      2_100,
      ended("r2", "outcome=cut total_ms=2090 pause_ms=900 pause_at_ms=700"),
    ],
    [
      2_200,
      ended("r3", "outcome=answered total_ms=2180 pause_ms=90 pause_at_ms=1"),
    ],
    [3_000, "event=started instance=one"],
  ]),
  ...logOf("two", [
    [
      500,
      "event=request_ended request=r5 status=503 outcome=not_run total_ms=3",
    ],
    [600, ended("r6", "outcome=answered late=first total_ms=700")],
    [700, "event=request_sent request=r7 id=e9"],
  ]),
];

describe("the account of losses", () => {
  it("has each lost answer once in each table", () => {
    expect(accountForLosses(LINES)).toMatchSnapshot();
  });

  it("adds up to the same in all tables", () => {
    const account = accountForLosses(LINES);
    const tables = [
      account.byKind,
      account.byOrigin,
      account.bySubject,
      account.byPriority,
      account.byRoute,
      account.byOrganisation,
      account.bySecond,
      account.byDomain,
    ];
    for (const rows of tables) {
      const lost = rows.reduce((sum, row) => sum + row.lost, 0);
      expect(lost).toBeCloseTo(account.lost, 9);
    }
  });

  // Guards against tables that hide which class, route or organisation pays for a
  // shortage, and against logs of older versions that end the command.
  it("tells what each class, route and organisation lost", () => {
    const account = accountForLosses([
      ...LINES,
      ...logOf("three", [
        [0, "event=request_sent request=r8 route=ask id=e1"],
        [
          100,
          ended(
            "r8",
            "route=ask organisation=farm priority=0 arrival=first outcome=answered total_ms=100",
          ),
        ],
        [
          200,
          "event=request_ended request=r9 status=503 route=ask organisation=farm priority=0 arrival=first outcome=not_run total_ms=1",
        ],
        [
          900,
          "event=request_ended request=r10 status=503 route=say priority=10 arrival=returning outcome=not_run total_ms=1",
        ],
        [
          950,
          ended(
            "r11",
            "route=say priority=2 arrival=hurried outcome=answered late=first total_ms=1",
          ),
        ],
      ]),
    ]);
    const summary = (rows: typeof account.byRoute) =>
      rows.map(
        ({ name, requests, answers, lost, refused, returned }) =>
          `${name}: ${requests} ${answers} ${lost} ${refused} ${returned}`,
      );
    expect(summary(account.byPriority)).toEqual([
      "0: 2 1 1 1 0",
      "2: 1 1 0.75 0 1",
      "10: 1 1 1 1 1",
      "unknown: 7 5 4.5 1 0",
    ]);
    expect(summary(account.byRoute)).toEqual([
      "unknown: 7 5 4.5 1 0",
      "say: 2 2 1.75 1 2",
      "ask: 2 1 1 1 0",
    ]);
    expect(summary(account.byOrganisation)).toEqual([
      "none: 7 6 5.25 2 2",
      "farm: 2 1 1 1 0",
      "unknown: 2 1 1 0 0",
    ]);
  });

  it("counts late answers by the share that they lose", () => {
    const { byKind } = accountForLosses(LINES, { lateShare: 0.6 });
    const late = byKind.find(({ name }) => name === "late_pause");
    expect(late).toEqual({ name: "late_pause", answers: 1, lost: 0.4 });
  });

  // Guards against losses whose failure domain, phase and cause stay unknown.
  it("splits losses by failure domain and phase", () => {
    const account = accountForLosses(
      logOf("one", [
        [0, "event=started instance=one domain=dc-1"],
        [5, "event=engine_slow id=e3 slowdown=12"],
        [100, "event=request_sent request=r1 id=e1 load=0.40 backlog_ms=700"],
        [150, "event=request_sent request=r2 id=e2 stages=e2,e3"],
        [1_300, "event=stage_away request=r2 id=e3"],
        [1_320, "event=request_sent request=r2 id=e4"],
        [
          2_000,
          "event=request_ended request=r1 outcome=caller_left total_ms=1950",
        ],
        [
          2_500,
          ended(
            "r2",
            "outcome=answered late=pause first_ms=90 total_ms=2400 pause_ms=600 pause_at_ms=1000",
          ),
        ],
      ]),
    );
    expect(account.byDomain).toEqual([
      {
        name: "dc-1",
        requests: 2,
        answers: 2,
        lost: 1.75,
        byKind: [
          { name: "left_waiting", answers: 1, lost: 1 },
          { name: "late_pause", answers: 1, lost: 0.75 },
        ],
      },
    ]);
    expect(account.byOrigin.map(({ name }) => name)).toEqual([
      "none",
      "engine_slow",
    ]);
    const phases = account.phases.map(({ name, p50 }) => [name, p50]);
    expect(Object.fromEntries(phases)).toEqual({
      "first event: until sent": 50,
      "first event: at earlier engines": 0,
      "first event: at the last engines": 1_900,
      "first event: backlog believed there": 700,
      "first event: memory believed used, in 100": 40,
      "pause: until noticed": 200,
      "pause: until moved": 20,
      "pause: until the next event": 380,
    });
  });
});
