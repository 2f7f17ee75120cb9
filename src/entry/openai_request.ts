/**
 * Parses request bodies of the OpenAI-compatible routes `/v1/chat/completions`
 * and `/v1/completions`. Fields that the router doesn't use are accepted.
 */

import {z} from 'zod';

const DEFAULT_MAX_TOKENS = 256;
const MAX_MAX_TOKENS = 32_768;

const maxTokens = z.number().int().min(1).max(MAX_MAX_TOKENS);

const textPart = z.looseObject({type: z.literal('text'), text: z.string()});

const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(textPart), z.null()]),
});

const sharedFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: maxTokens.nullish(),
  max_completion_tokens: maxTokens.nullish(),
  n: z.literal(1).nullish(),
};

const chatBody = z.looseObject({
  ...sharedFields,
  messages: z.array(message).min(1),
});

const completionBody = z.looseObject({
  ...sharedFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

export type CompletionApi = 'chat' | 'completion';

/** The fields of a body that the router uses. */
export interface CompletionBody {
  readonly model: string;
  readonly promptText: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
}

export type CompletionBodyOutcome =
  | {readonly kind: 'parsed'; readonly body: CompletionBody}
  /** `detail` names the path of the invalid field. */
  | {readonly kind: 'malformed'; readonly detail: string};

type ChatBody = z.infer<typeof chatBody>;
type PromptBody = z.infer<typeof completionBody>;

function messageText(content: ChatBody['messages'][number]['content']): string {
  if (content === null) return '';
  if (typeof content === 'string') return content;
  return content.map(part => part.text).join('\n');
}

function chatPrompt(body: ChatBody): string {
  return body.messages
    .map(item => `${item.role}: ${messageText(item.content)}`)
    .join('\n');
}

function completionPrompt(body: PromptBody): string {
  return typeof body.prompt === 'string' ? body.prompt : body.prompt[0];
}

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}

function createOutcome(body: ChatBody | PromptBody, promptText: string) {
  const parsed: CompletionBody = {
    model: body.model,
    promptText,
    maxTokens:
      body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    isStream: body.stream ?? false,
  };
  return {kind: 'parsed', body: parsed} as const;
}

const parsers: Readonly<
  Record<CompletionApi, (json: unknown) => CompletionBodyOutcome>
> = {
  chat(json) {
    const result = chatBody.safeParse(json);
    return result.success
      ? createOutcome(result.data, chatPrompt(result.data))
      : {kind: 'malformed', detail: describeIssues(result.error)};
  },
  completion(json) {
    const result = completionBody.safeParse(json);
    return result.success
      ? createOutcome(result.data, completionPrompt(result.data))
      : {kind: 'malformed', detail: describeIssues(result.error)};
  },
};

/** Parses the body of a request to either route. */
export function parseCompletionBody(
  api: CompletionApi,
  body: Uint8Array,
): CompletionBodyOutcome {
  let json: unknown;
  try {
    json = JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(body));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return {kind: 'malformed', detail: `body: not JSON: ${reason}`};
  }
  return parsers[api](json);
}
