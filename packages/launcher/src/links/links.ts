/** Which processes can reach which others now. */
import { EventEmitter, once } from "node:events";

/** What is lost, as seen by those that are cut off. */
export type CutDirection =
  | "both"
  /** Only what they send. */
  | "outgoing"
  /** Only what is sent to them. */
  | "incoming";

/** A cut between two groups of processes, given by their names. */
export interface Cut {
  /** Whom the cut cuts off. */
  readonly names: ReadonlySet<string>;
  readonly from: ReadonlySet<string>;
  readonly direction: CutDirection;
}

/** One way from one process to another, by their names. */
export interface Way {
  readonly from: string;
  readonly to: string;
}

/** The links between the processes of a deployment. */
export interface Links {
  passes(way: Way): boolean;
  /** Resolves when the way is free, at once if it is. */
  whenPasses(way: Way): Promise<void>;
  /** Cuts until the returned function is called. */
  cut(cut: Cut): () => void;
  /** Calls back after each change. */
  onChange(listener: () => void): void;
}

/** Creates links of which none is cut. */
export function createLinks(): Links {
  const cuts = new Set<Cut>();
  const changes = new EventEmitter().setMaxListeners(0);

  function passes(way: Way): boolean {
    return ![...cuts].some((cut) => isLost(way, cut));
  }

  return {
    passes,
    async whenPasses(way) {
      while (!passes(way)) await once(changes, "change");
    },
    cut(cut) {
      cuts.add(cut);
      changes.emit("change");
      return () => {
        cuts.delete(cut);
        changes.emit("change");
      };
    },
    onChange(listener) {
      changes.on("change", listener);
    },
  };
}

function isLost({ from, to }: Way, cut: Cut): boolean {
  const isOutgoing = cut.names.has(from) && cut.from.has(to);
  const isIncoming = cut.names.has(to) && cut.from.has(from);
  if (isOutgoing) return cut.direction !== "incoming";
  return isIncoming && cut.direction !== "outgoing";
}
