/** Service-level burn: the sums, and a page with plots. */
export * from "./burn.ts";
export * from "./burn_page.ts";
