/**
 * The rules that operators add on top of the register: pipelines, client
 * accounts, and the data centres and backend servers out of service.
 *
 * @module
 */

import { z } from "zod";
import {
  type ClientAccountId,
  type PipelineName,
  type StageName,
  toId,
} from "./ids.js";
import {
  backendServerIdSchema,
  dataCentreNameSchema,
  nameSchema,
  serviceNameSchema,
} from "./register.js";

export const pipelineNameSchema = nameSchema.transform((text) =>
  toId<PipelineName>(text)
);
export const stageNameSchema = nameSchema.transform((text) =>
  toId<StageName>(text)
);
export const clientAccountIdSchema = nameSchema.transform((text) =>
  toId<ClientAccountId>(text)
);

const stageSchema = z.strictObject({
  name: stageNameSchema,
  service: serviceNameSchema,
  /** The operation of a plain service, or "completions" for a model engine. */
  operation: nameSchema,
  /** False if running the stage twice does harm. */
  idempotent: z.boolean().default(true),
  /** Maximum number of tokens to generate; used only for model engines. */
  maxTokens: z.int().min(1).max(32_768).default(128),
});

const pipelineSchema = z.strictObject({
  name: pipelineNameSchema,
  /** "counter": a person is waiting. "deferrable": the request can wait. */
  urgency: z.enum(["counter", "deferrable"]),
  /** The default deadline of a request, and the longest it may set. */
  deadlineMs: z.int().min(10).max(600_000),
  stages: z.array(stageSchema).min(1).max(12),
});

const clientAccountSchema = z.strictObject({
  id: clientAccountIdSchema,
  /** Lower-case hexadecimal SHA-256 of each accepted bearer key. */
  keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(8),
  /** Relative share of each pool's capacity when the pool is full. */
  share: z.number().min(0.01).max(1000).default(1),
});

export const rulesSchema = z.strictObject({
  pipelines: z.array(pipelineSchema).min(1).max(1000),
  clientAccounts: z.array(clientAccountSchema).max(100_000),
  dataCentresOut: z.array(dataCentreNameSchema).max(64).default([]),
  backendServersOut: z.array(backendServerIdSchema).max(20_000).default([]),
});

export type Stage = z.infer<typeof stageSchema>;
export type Pipeline = z.infer<typeof pipelineSchema>;
export type Urgency = Pipeline["urgency"];
export type ClientAccount = z.infer<typeof clientAccountSchema>;
export type Rules = z.infer<typeof rulesSchema>;
