import { NO_NOTICE } from "../register/server_notice.js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ServerHealth } from "../placement/server_health.js";
import type {
  RegisterChange,
  RegisteredServer,
} from "../register/server_register.js";
import { ServerRegister } from "../register/server_register.js";
import { makeReport } from "../testing/stage_samples.js";
import { makeRoutedRequest } from "./testing/sample_forwarding.js";
import type { ForwardContext } from "./forward_context.js";
import { observeCall, type ObservedAttempt } from "./observe_call.js";
import type { PromptShape } from "./routed_request.js";
import type {
  RemainingConnections,
  ResponseHead,
  ServerCallFailure,
} from "./server_caller.js";

interface Observed {
  readonly call: ObservedAttempt;
  /** What the judging of prompt parts was told, in order. */
  readonly events: string[];
  readonly register: ServerRegister;
}

function makePrompt(...ids: string[]): PromptShape {
  return {
    inputTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map((id) => ({ id, tokens: 10 })),
  };
}

/** Starts to observe a call to the server `a`. */
function observe(prompt: PromptShape | undefined): Observed {
  const events: string[] = [];
  const changes: RegisterChange[] = [];
  const register = new ServerRegister((change) => changes.push(change));
  register.apply(makeReport("a", { startedAt: 1 }), 0);
  const server = register.get(makeReport("a").id) as RegisteredServer;
  const environment: Partial<ForwardContext["environment"]> = {
    directory: {
      isStaying: (earlier: RegisteredServer) => register.isStaying(earlier),
    } as never,
    poisonParts: {
      observe: ({ parts }: { readonly parts: readonly string[] }) => {
        const names = parts.map((part) => part.replace(/^request:.*/, "whole"));
        events.push(`sent ${names.join()}`);
        return {
          recordEvent: () => events.push("event"),
          recordComplete: () => events.push("complete"),
          recordCrash: () => events.push("crash"),
          end: () => events.push("end"),
        };
      },
    } as never,
  };
  const request = makeRoutedRequest("/encode/1", { prompt });
  const context = { environment, request };
  const call = observeCall({
    context: context as ForwardContext,
    candidate: { server, health: new ServerHealth() },
    inputs: undefined,
    resumeAfter: undefined,
  });
  return { call, events, register };
}

function broken(remainingConnections: RemainingConnections): ServerCallFailure {
  return { kind: "broken", detail: "ECONNRESET", remainingConnections };
}

function makeHead(overrides: Partial<ResponseHead>): ResponseHead {
  return {
    status: 200,
    headers: [],
    isNotRun: false,
    isInputGone: false,
    endsWithConnection: false,
    isGenuine: true,
    rateLimit: { kind: "unknown" },
    notice: NO_NOTICE,
    ...overrides,
  };
}

describe("observeCall", () => {
  it("reports a crash when no connection to the server remains", () => {
    const { call, events } = observe(makePrompt("aa", "bb", "own"));
    call.recordSend();
    expect(call.recordFailure(broken("none"))).toEqual(true);
    expect(events).toEqual(["sent aa,bb,whole", "crash"]);
  });

  it("doesn't take the end of one connection, a timeout or a refused connection for a crash", () => {
    const failures: ServerCallFailure[] = [
      broken("some"),
      broken("notChecked"),
      { kind: "notSent", detail: "ECONNREFUSED", isConnectionFailure: true },
    ];
    for (const failure of failures) {
      const { call, events } = observe(makePrompt("aa", "own"));
      call.recordSend();
      expect(call.recordFailure(failure)).toEqual(false);
      expect(events).toEqual(["sent aa,whole", "end"]);
    }
  });

  it("doesn't take a planned end or a restart for a crash", () => {
    const changes: ((register: ServerRegister) => void)[] = [
      (register) => {
        const report = { startedAt: 1, isDraining: true };
        register.apply(makeReport("a", report), 0);
      },
      (register) => {
        register.remove(makeReport("a").id);
      },
      (register) => {
        register.apply(makeReport("a", { startedAt: 2 }), 0);
      },
    ];
    for (const change of changes) {
      const { call, events, register } = observe(makePrompt("aa", "own"));
      call.recordSend();
      change(register);
      expect(call.recordFailure(broken("none"))).toEqual(false);
      expect(events).toEqual(["sent aa,whole", "end"]);
    }
  });

  it("reports only the complete responses of servers that ran the request", () => {
    const heads: [Partial<ResponseHead>, string][] = [
      [{}, "complete"],
      [{ status: 503, isNotRun: true }, "end"],
      [{ status: 500 }, "end"],
      [{ isGenuine: false }, "end"],
    ];
    for (const [head, expected] of heads) {
      const { call, events } = observe(makePrompt("aa", "own"));
      call.recordSend();
      call.recordHead(makeHead(head));
      call.recordEnd();
      expect(events).toEqual(["sent aa,whole", expected]);
    }
  });

  it("says nothing of a call that was canceled or never sent", () => {
    const canceled = observe(makePrompt("aa", "own"));
    canceled.call.recordSend();
    canceled.call.recordCancel();
    expect(canceled.events).toEqual(["sent aa,whole", "end"]);
    const unsent = observe(makePrompt("aa", "own"));
    unsent.call.recordFailure({
      kind: "notSent",
      detail: "ECONNREFUSED",
      isConnectionFailure: true,
    });
    expect(unsent.events).toEqual([]);
  });

  it("observes a request without shared prompt parts as a whole", () => {
    for (const prompt of [undefined, makePrompt("own")]) {
      const { call, events } = observe(prompt);
      call.recordSend();
      expect(call.recordFailure(broken("none"))).toEqual(true);
      expect(events).toEqual(["sent whole", "crash"]);
    }
  });

  it("takes any response to a request without a prompt for a run", () => {
    const { call, events } = observe(undefined);
    call.recordSend();
    call.recordHead(makeHead({ status: 500 }));
    call.recordEnd();
    expect(events).toEqual(["sent whole", "complete"]);
  });
});
