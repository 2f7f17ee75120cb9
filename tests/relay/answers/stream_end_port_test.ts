import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {
  AnswerBodySink,
  RelayRequest,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../../src/ports/relay.js';
import {createStreamEndPort} from '../../../src/relay/answers/stream_end_port.js';
import {
  createWatchedUpstreamPort,
  type RunEnd,
} from '../../../src/relay/crashes/watched_upstream_port.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';

interface Ending {
  readonly text: string;
  /** `text/event-stream` if absent. */
  readonly contentType?: string | null;
  readonly isFramed?: true;
  readonly isRouteOfStreams?: true;
  readonly resumeAfterEvent?: string;
}

const request = {requestId: 'r'} as RelayRequest;

/** Returns how a run ends, as the crash watch and the reader see it. */
async function readEnding(
  {text, contentType = 'text/event-stream', isFramed, ...more}: Ending,
  chunkBytes: number,
): Promise<readonly [RunEnd | undefined, string]> {
  const answer: UpstreamAnswer = {
    kind: 'answered',
    status: 200,
    headers: contentType === null ? [] : ['Content-Type', contentType],
    hasSignature: true,
    body: {
      isUnframed: !isFramed,
      read(sink: AnswerBodySink) {
        for (let from = 0; from < text.length; from += chunkBytes) {
          sink.chunk(Buffer.from(text.slice(from, from + chunkBytes)));
        }
        sink.end();
      },
      pause: () => {},
      resume: () => {},
      destroy: () => {},
    },
  };
  let runEnd: RunEnd | undefined;
  const port = createWatchedUpstreamPort({
    port: createStreamEndPort({
      send: () => Promise.resolve(answer),
    } as Partial<UpstreamPort> as UpstreamPort),
    startRun: () => ({
      noteAnswer: () => {},
      noteData: () => {},
      end: how => void (runEnd ??= how),
    }),
    findRefusal: () => undefined,
  });
  const expectsEvents = more.isRouteOfStreams ?? false;
  const {resumeAfterEvent} = more;
  const options = {expectsEvents, resumeAfterEvent} as SendOptions;
  const outcome = await port.send(request, options, createCancellation());
  assert.equal(outcome.kind, 'answered');
  const seen = await new Promise<string>(resolve => {
    (outcome as UpstreamAnswer).body.read({
      chunk: () => {},
      end: () => resolve('whole'),
      broken: () => resolve('broken'),
    });
  });
  return [runEnd, seen];
}

const WHOLE: Readonly<Record<string, Ending>> = {
  'after an event': {text: 'id: 1\ndata: a\n\n'},
  'after an event with CR LF': {text: 'id: 1\r\ndata: a\r\n\r\n'},
  'after a comment': {text: 'data: a\n\n: keep-alive\n'},
  'after blank lines': {text: 'data: a\n\n\n\n'},
  'without any event': {text: ''},
  'in an event whose end its length or its chunks show': {
    text: 'data: a\n',
    isFramed: true,
  },
  'without any event, after the last one of the run before': {
    text: '',
    isRouteOfStreams: true,
    resumeAfterEvent: '7',
  },
  'in an answer of another kind': {
    text: '{"error":"none"}',
    contentType: 'application/json',
    isRouteOfStreams: true,
  },
  'in an answer of unknown kind to a plain call': {
    text: 'answer',
    contentType: null,
  },
};

const BROKEN: Readonly<Record<string, Ending>> = {
  'inside a line': {text: 'data: a\n\nid: 2\nda'},
  'before the blank line': {text: 'data: a\n\nid: 2\ndata: b\n'},
  'before the last LF of CR LF': {text: 'data: a\r\n\r'},
  'inside a comment': {text: 'data: a\n\n: keep'},
  'after a comment inside an event': {text: 'data: a\n: keep-alive\n'},
  'in an answer of unknown kind on a route of streams': {
    text: 'data: a\n',
    contentType: null,
    isRouteOfStreams: true,
  },
  'without any event on a route of streams': {
    text: ': comment\n\n',
    isRouteOfStreams: true,
  },
  'in bytes that are no event, though their length shows the end': {
    text: '0123456789',
    contentType: null,
    isFramed: true,
    isRouteOfStreams: true,
  },
  'with a parameter of the content type': {
    text: 'data: a\n',
    contentType: 'Text/Event-Stream; charset=utf-8',
  },
};

const CASES = [
  {cases: WHOLE, runEnd: 'complete', seen: 'whole'},
  {cases: BROKEN, runEnd: 'broken', seen: 'broken'},
];

describe('a stream without length is whole only if it ends between events', () => {
  // Guards against a broken stream that counts as complete, also for the crash
  // watch, and against a sound one that counts as broken.
  for (const {cases, runEnd, seen} of CASES) {
    for (const [where, ending] of Object.entries(cases)) {
      test(`${seen}: ${where}`, async () => {
        for (const chunkBytes of [1, 3, 1_000]) {
          const end = await readEnding(ending, chunkBytes);
          assert.deepEqual(end, [runEnd, seen]);
        }
      });
    }
  }
});
