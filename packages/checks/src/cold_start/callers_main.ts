/** Process of some callers; its plan is the only argument. */
import { createSeededRandom } from "../seeded_random.ts";
import { createInstanceChoice } from "./balancer.ts";
import { callersPlanSchema, orderSchema, startCallers } from "./callers.ts";

const plan = callersPlanSchema.parse(JSON.parse(process.argv[2] ?? ""));
const { instances, requestsPerSecond, events } = plan;
let ready: ReadonlySet<string> = new Set();
const callers = startCallers({
  choose: createInstanceChoice(instances, (url) => ready.has(url)),
  random: createSeededRandom(plan.seed),
  name: `c${plan.seed}`,
  requestsPerSecond,
  events,
  onOutcome: (outcome) => void process.send?.(outcome),
});
process.on("message", (message) => {
  const order = orderSchema.parse(message);
  if (order !== "stop") ready = new Set(order.ready);
  else void callers.stop().then(() => process.exit(0));
});
