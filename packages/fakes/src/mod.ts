/** Fakes of narrow interfaces, in process, for tests. */
export * from "./cut_answers.ts";
export * from "./datagram_links.ts";
export * from "./fixed_note.ts";
export * from "./instance_domain.ts";
export * from "./memory_store.ts";
export * from "./odd_values.ts";
export * from "./ordered_engines.ts";
export * from "./peer_links.ts";
export * from "./peer_network.ts";
export * from "./retry_windows.ts";
export * from "./scripted_engines.ts";
export * from "./test_seeds.ts";
