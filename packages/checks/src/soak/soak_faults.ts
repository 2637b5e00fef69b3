/** Faults of the soak, each with the steps that begin and end it. */
import type { SimpleStep } from "@rosemarypin/scenarios";
import type { SeededRandom } from "../seeded_random.ts";

const ENGINES = 9;
const INSTANCES = 4;
const SERVERS = 3;
const SLOW_LINK_MS = 150;
const SOUND_LINK_MS = 1;
const SLOW_STORE_MS = 800;
const LOST_REPLIES = { low: 3, high: 15 };
const LOST_ANSWERS = { low: 1, high: 5 };
/** Servers hear within 3 s that one leaves; then there is time to judge. */
const LEAVING_SECONDS = 4;
const DOMAINS = ["ng-south-a", "ng-south-b", "ng-south-c"] as const;
const CUT_FROM: readonly [string[], ...string[][]] = [
  ["platform"],
  ["others"],
  ["platform", "others"],
];
const DIRECTIONS = ["both", "both", "outgoing", "incoming"] as const;

/** One fault. */
export interface SoakFault {
  /** What it strikes; two faults at once never strike the same. */
  readonly target: "instance" | "engine" | "server" | "store" | "network";
  readonly begin: SimpleStep;
  /** Steps one after the other; none where a fault ends by itself. */
  readonly end: readonly SimpleStep[];
}

type Draw = (random: SeededRandom) => SoakFault;

const draws: readonly [Draw, ...Draw[]] = [
  (random) => killed("instance", `entry-${random.between(1, INSTANCES)}`),
  (random) => frozen("instance", `entry-${random.between(1, INSTANCES)}`),
  (random) => restarted(`entry-${random.between(1, INSTANCES)}`),
  (random) => killed("engine", `engine-${random.between(1, ENGINES)}`),
  (random) => frozen("engine", `engine-${random.between(1, ENGINES)}`),
  (random) => left("engine", `engine-${random.between(1, ENGINES)}`),
  (random) => slowLink(`engine-${random.between(1, ENGINES)}`),
  (random) => killed("server", `dealer-app-${random.between(1, SERVERS)}`),
  (random) => frozen("server", `dealer-app-${random.between(1, SERVERS)}`),
  (random) => left("server", `dealer-app-${random.between(1, SERVERS)}`),
  (random) => lostAnswers(`dealer-app-${random.between(1, SERVERS)}`, random),
  () => storeDown(),
  () => slowStore(),
  (random) => lostReplies(random),
  (random) => cutOff(random),
  (random) => cutOff(random),
  (random) => cutOff(random),
];

/** One fault, or two that strike different things. */
export function drawFaults(random: SeededRandom): readonly SoakFault[] {
  const first = random.pick(draws)(random);
  const second = random.pick(draws)(random);
  return mayMeet(first, second) ? [first, second] : [first];
}

/**
 * A planned stop waits until the ends of its orders are recorded, so a store
 * that is away for as long makes it exit with 3, as its page says. A cut can
 * take the store away as well.
 */
function mayMeet(first: SoakFault, second: SoakFault): boolean {
  const isStop = [first, second].some(({ begin }) => "stop" in begin);
  const isStore = [first, second].some(
    ({ target }) => target === "store" || target === "network",
  );
  return first.target !== second.target && !(isStop && isStore);
}

function killed(target: SoakFault["target"], name: string): SoakFault {
  return { target, begin: { kill: name }, end: [{ start: name }] };
}

function frozen(target: SoakFault["target"], name: string): SoakFault {
  return { target, begin: { freeze: name }, end: [{ thaw: name }] };
}

function restarted(name: string): SoakFault {
  return { target: "instance", begin: { stop: name }, end: [{ start: name }] };
}

/** What left is replaced, as the platform would. */
function left(target: "engine" | "server", name: string): SoakFault {
  const end: SimpleStep[] = [
    { wait: LEAVING_SECONDS },
    { kill: name },
    { wait: 1 },
    { start: name },
  ];
  return { target, begin: { leave: name }, end };
}

function slowLink(of: string): SoakFault {
  return {
    target: "engine",
    begin: { linkMs: SLOW_LINK_MS, of },
    end: [{ linkMs: SOUND_LINK_MS, of }],
  };
}

function lostAnswers(of: string, random: SeededRandom): SoakFault {
  const { low, high } = LOST_ANSWERS;
  const loseServiceAnswers = random.between(low, high);
  return { target: "server", begin: { loseServiceAnswers, of }, end: [] };
}

function cutOff(random: SeededRandom): SoakFault {
  const cut = [random.pick(DOMAINS)];
  const from = random.pick(CUT_FROM);
  const direction = random.pick(DIRECTIONS);
  return {
    target: "network",
    begin: { cut, from, direction },
    end: [{ heal: cut }],
  };
}

function storeDown(): SoakFault {
  return {
    target: "store",
    begin: { storeDown: true },
    end: [{ storeDown: false }],
  };
}

function slowStore(): SoakFault {
  return {
    target: "store",
    begin: { storeDelayMs: SLOW_STORE_MS },
    end: [{ storeDelayMs: 0 }],
  };
}

function lostReplies(random: SeededRandom): SoakFault {
  const { low, high } = LOST_REPLIES;
  const loseStoreReplies = random.between(low, high);
  return {
    target: "store",
    begin: { loseStoreReplies },
    end: [{ loseStoreReplies: 0 }],
  };
}
