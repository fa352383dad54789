/**
 * Schemas and parsers for the request bodies of the administration API.
 *
 * @module
 */

import { type ChangeId, toId } from "@sassafrasstage/protocol/ids";
import { z } from "zod";

const DEFAULT_AUTHOR = "unnamed";
const MAX_NOTE_LENGTH = 500;

const changeFields = {
  /** Idempotency key: a change with an accepted id is not applied again. */
  changeId: z.string().regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    "Expected 1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'",
  ).transform((text) => toId<ChangeId>(text)).exactOptional(),
  author: z.string().min(1).max(64).default(DEFAULT_AUTHOR),
  note: z.string().max(MAX_NOTE_LENGTH).exactOptional(),
};

/** `register` and `rules` are validated later, as one configuration. */
const applyRequestSchema = z.strictObject({
  register: z.unknown(),
  rules: z.unknown(),
  basedOnGeneration: z.int().nonnegative().exactOptional(),
  ...changeFields,
});

const availabilityRequestSchema = z.strictObject(changeFields);

export type ApplyRequest = z.infer<typeof applyRequestSchema>;
export type AvailabilityRequest = z.infer<typeof availabilityRequestSchema>;

export type ParsedBody<Body> =
  | { readonly kind: "parsed"; readonly body: Body }
  | { readonly kind: "malformed"; readonly detail: string };

/** Parses the body of `POST /admin/v1/configuration`. */
export function parseApplyRequest(text: string): ParsedBody<ApplyRequest> {
  return parseBody(text, applyRequestSchema);
}

/** Parses the body of the `out` and `in` calls; an empty body is valid. */
export function parseAvailabilityRequest(
  text: string,
): ParsedBody<AvailabilityRequest> {
  return parseBody(text.trim() === "" ? "{}" : text, availabilityRequestSchema);
}

function parseBody<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): ParsedBody<z.infer<Schema>> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { kind: "malformed", detail: "The body is not JSON" };
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return { kind: "parsed", body: parsed.data };
  return { kind: "malformed", detail: z.prettifyError(parsed.error) };
}
