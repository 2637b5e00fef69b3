/** Names, numbers and addresses that several schemas share. */
import { z } from "zod";

/** A name that is safe in paths, header values, logs and metric labels. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/,
    "expected a name of 1 to 63 letters, digits, '.', '_' or '-'",
  )
  .refine(
    // Names are keys of plain objects, such as a catalogue's models. A lookup
    // of `constructor` there returns the inherited property: a request for such
    // a model would fail with an internal error, and a note that adds one would
    // modify `Object` itself. So inherited property names are refused.
    (name) => !(name in Object.prototype),
    "expected a name that is no inherited object property such as 'constructor'",
  );

/** Number of a release note: 1 for the first, then consecutive; 0 for none. */
export const noteNumberSchema = z.number().int().nonnegative();

/** IP address and port of a listener or of a remote process. */
export const addressSchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});
export type Address = z.infer<typeof addressSchema>;

/** Formats an address as the authority part of a URL. */
export function formatAddress(address: Address): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** A half-open range of layers: `from` is included, `to` is not. */
export const layerRangeSchema = z
  .object({
    from: z.number().int().nonnegative(),
    to: z.number().int().positive(),
  })
  .refine((range) => range.from < range.to, "expected from < to");
export type LayerRange = z.infer<typeof layerRangeSchema>;
