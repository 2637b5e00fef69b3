/** Seeded checks of what must always hold. */
export * from "./seeded_random.ts";
