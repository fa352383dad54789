/**
 * Makes single HTTP calls whose response is buffered at a bounded cost.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, util } from "undici";
import { AccountedBuffer } from "../memory/accounted_buffer.js";
import type { BufferAccount } from "../memory/buffer_account.js";
import type {
  BoundedConnection,
  ConnectionFault,
  ConnectionHandler,
} from "./bounded_connection.js";
import { ResponseChunks } from "./response_chunks.js";
import { kindOfStatus } from "./response_status.js";
import type { SmallChunkLimiter } from "./small_chunk_limiter.js";
import {
  type BodyFraming,
  detectFraming,
  isWholeResponse,
} from "./whole_response.js";

const MAX_INFORMATIONAL_RESPONSES = 10;
/** Many times what is sent; each costs far more than its bytes. */
const MAX_HEADER_FIELDS = 1000;

/** What limits the responses of all calls. */
export interface ResponseLimits {
  readonly chunkLimiter: SmallChunkLimiter;
  readonly buffers: BufferAccount;
}

export interface BufferedCall {
  readonly method: Dispatcher.HttpMethod;
  readonly origin?: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
  readonly maxResponseBytes: number;
  /** Ends the call; rejects with the reason. */
  readonly signal: AbortSignal;
  /** Throws if the call may no longer be sent. */
  readonly checkBeforeSend?: () => void;
}

export interface BufferedExchangeResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Closes the connection so that no other call uses it. */
  readonly closeConnection: (fault: ConnectionFault) => void;
}

/** The connection ended before the response was whole. */
export class CutResponseError extends Error {
  override readonly name = "CutResponseError";
  /** That of the HTTP library for connections that the server closed. */
  readonly code = "UND_ERR_SOCKET";

  constructor() {
    super("The response isn't whole");
  }
}

/** The response broke a limit; its connection was closed. */
export class ResponseFaultError extends Error {
  override readonly name = "ResponseFaultError";
  readonly code: ConnectionFault;

  constructor(code: ConnectionFault) {
    super("The response broke a limit");
    this.code = code;
  }
}

/**
 * Sends the call and reads the whole response.
 *
 * @example
 * ```ts
 * const { status, text } = await exchangeBuffered(pool, call, limits);
 * ```
 */
export function exchangeBuffered(
  dispatcher: Dispatcher,
  call: BufferedCall,
  limits: ResponseLimits,
): Promise<BufferedExchangeResponse> {
  return new Promise((resolve, reject) => {
    const handler = new ExchangeHandler(call, limits, { resolve, reject });
    const { method, origin, path, headers, body } = call;
    dispatcher.dispatch({
      method,
      path,
      ...(origin === undefined ? {} : { origin }),
      headers: { ...headers },
      body: body ?? null,
    }, handler);
  });
}

interface Outcome {
  readonly resolve: (response: BufferedExchangeResponse) => void;
  readonly reject: (error: Error) => void;
}

class ExchangeHandler implements ConnectionHandler {
  readonly #call: BufferedCall;
  readonly #limits: ResponseLimits;
  readonly #outcome: Outcome;
  readonly #body: AccountedBuffer;
  readonly #endBySignal = (): void => {
    this.#fail(toError(this.#call.signal.reason));
  };
  #connection: BoundedConnection | undefined;
  #abort: ((error?: Error) => void) | undefined;
  #chunks: ResponseChunks | undefined;
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #framing: BodyFraming = "byLength";
  #informationalResponses = 0;
  #isFinished = false;

  constructor(call: BufferedCall, limits: ResponseLimits, outcome: Outcome) {
    this.#call = call;
    this.#limits = limits;
    this.#outcome = outcome;
    this.#body = new AccountedBuffer({
      account: limits.buffers,
      use: "serverResponses",
      holder: {
        isIrreplaceable: () => call.method !== "GET",
        evict: () => {
          this.#close("evictedResponse");
        },
      },
    });
    call.signal.addEventListener("abort", this.#endBySignal);
    if (call.signal.aborted) this.#endBySignal();
  }

  onConnection(connection: BoundedConnection): void {
    this.#connection = connection;
  }

  onConnect(abort: (error?: Error) => void): void {
    // An error drops the call but keeps the connection, unlike `abort`.
    if (this.#isFinished) throw new Error("The call was canceled");
    this.#call.checkBeforeSend?.();
    this.#abort = abort;
  }

  onHeaders(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
  ): boolean {
    if (this.#isFinished) return true;
    if (rawHeaders.length > MAX_HEADER_FIELDS * 2) {
      this.#close("oversizedResponse");
      return true;
    }
    switch (kindOfStatus(status)) {
      case "informational":
        this.#countInformational();
        return true;
      case "invalid":
        this.#close("invalidStatus");
        return true;
      case "final":
        this.#receiveHead(status, rawHeaders, resume);
        return true;
    }
  }

  #countInformational(): void {
    this.#informationalResponses += 1;
    if (this.#informationalResponses <= MAX_INFORMATIONAL_RESPONSES) return;
    this.#close("tooManyInformationalResponses");
  }

  #receiveHead(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
  ): void {
    this.#status = status;
    this.#headers = util.parseHeaders(rawHeaders);
    this.#framing = detectFraming({
      method: this.#call.method,
      status,
      rawHeaders: rawHeaders.map((part) => part.toString("latin1")),
    });
    if (this.#framing === "byConnectionEnd") this.#connection?.awaitReset();
    this.#chunks = new ResponseChunks({
      limiter: this.#limits.chunkLimiter,
      onBytes: (bytes) => {
        this.#append(bytes);
      },
      onError: (error) => {
        this.#fail(toError(error));
      },
    }, resume);
  }

  onData(chunk: Buffer): boolean {
    if (this.#isFinished) return true;
    switch (this.#chunks?.receive(chunk)) {
      case "pause":
        this.#connection?.slowReads();
        return false;
      case "end":
        this.#close("wastefulResponse");
        return true;
      default:
        return true;
    }
  }

  onComplete(): void {
    if (!this.#isFinished) this.#chunks?.flush();
    const text = this.#body.view().toString();
    const isWhole = this.#isWhole();
    if (!this.#finish()) return;
    if (!isWhole) {
      this.#outcome.reject(new CutResponseError());
      return;
    }
    this.#outcome.resolve({
      status: this.#status,
      headers: this.#headers,
      text,
      closeConnection: (fault) => {
        this.#connection?.closeFaulty(fault);
      },
    });
  }

  #isWhole(): boolean {
    const connection = this.#connection;
    return connection !== undefined &&
      isWholeResponse(this.#framing, connection.connectionEnd);
  }

  onError(error: Error): void {
    if (this.#finish()) this.#outcome.reject(error);
  }

  #append(bytes: Buffer): void {
    if (this.#body.length + bytes.length > this.#call.maxResponseBytes) {
      this.#close("oversizedResponse");
    } else this.#body.append(bytes);
  }

  /** Closes the connection, then reports the failure. */
  #close(fault: ConnectionFault): void {
    if (this.#isFinished) return;
    this.#connection?.closeFaulty(fault);
    this.#fail(new ResponseFaultError(fault));
  }

  #fail(error: Error): void {
    if (!this.#finish()) return;
    this.#abort?.(error);
    this.#outcome.reject(error);
  }

  #finish(): boolean {
    if (this.#isFinished) return false;
    this.#isFinished = true;
    this.#chunks?.stop();
    this.#body.take();
    this.#call.signal.removeEventListener("abort", this.#endBySignal);
    return true;
  }
}

function toError(reason: unknown): Error {
  return reason instanceof Error ? reason : new Error(String(reason));
}
