import { expect } from "earl";
import { describe, it } from "node:test";
import { formatPromptParts } from "./format_prompt_parts.js";
import type { PromptShape } from "./routed_request.js";

function makePrompt(...ids: string[]): PromptShape {
  return {
    inputTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map((id) => ({ id, tokens: 10 })),
  };
}

describe("formatPromptParts", () => {
  it("omits the last part, which no other request has", () => {
    expect(formatPromptParts(makePrompt("aa", "bb", "own"))).toEqual("aa,bb");
    expect(formatPromptParts(makePrompt("own"))).toEqual(undefined);
    expect(formatPromptParts(undefined)).toEqual(undefined);
  });

  it("bounds the length of the text", () => {
    const ids = Array.from({ length: 100 }, () => "a".repeat(1000));
    const text = formatPromptParts(makePrompt(...ids)) ?? "";
    expect(text.length < 1000).toEqual(true);
  });
});
