/** Retry schedules of the services, whose capacity is freed independently. */
import {
  createRetrySchedule,
  type RetrySchedule,
} from "@rosemarypin/admission";

/** Services with a schedule; the one that was created first is evicted. */
const MAX_SERVICES = 256;

export interface RetrySchedules {
  of(service: string): RetrySchedule;
}

/** Creates the schedules of one instance. */
export function createRetrySchedules(): RetrySchedules {
  const schedules = new Map<string, RetrySchedule>();
  return {
    of(service) {
      const known = schedules.get(service);
      if (known) return known;
      if (schedules.size >= MAX_SERVICES) {
        const [oldest] = schedules.keys();
        if (oldest !== undefined) schedules.delete(oldest);
      }
      const schedule = createRetrySchedule();
      schedules.set(service, schedule);
      return schedule;
    },
  };
}
