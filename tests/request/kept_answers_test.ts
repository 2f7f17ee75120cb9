import assert from 'node:assert/strict';
import {test} from 'node:test';
import {noMutant} from '../../bench/support/fault_run.js';
import {createRequestSite} from '../../bench/support/request_site.js';
import {
  createSiteCallers,
  type CallSpec,
} from '../../bench/support/site_callers.js';

const draft: CallSpec = {
  id: 'year-2025',
  sender: 'treasurer',
  kind: 'patient',
  key: 'draft-1',
  isPoison: false,
  entryIndex: 0,
  atMs: 100,
  waitMs: 2_500,
  maxSends: 1,
};

function createBed() {
  const site = createRequestSite(1, noMutant);
  const callers = createSiteCallers(site, () => {});
  const outcomeOf = (sender: string) =>
    callers.records().find(record => record.spec.sender === sender)
      ?.outcomes[0];
  const prefills = () =>
    site.prefill.reduce((sum, each) => sum + each.books().prefillsFinished, 0);
  return {site, callers, outcomeOf, prefills};
}

// A treasurer's connection breaks while a yearly draft is written. The draft is
// finished all the same. Asking again with the key, at another entry and after
// the first one has died, gives the draft without a second run.
test('a finished draft outlives its connection and its entry', async () => {
  const {site, callers, outcomeOf, prefills} = createBed();
  callers.schedule({...draft, hangUpAfterMs: 60});
  await site.clock.advance(1_500);
  site.killEntry(0);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 0});
  await site.clock.advance(1_000);
  assert.equal(outcomeOf('again')?.kind, 'whole');
  assert.equal(prefills(), 1);
});

// While the draft is being written the caller asks a second entry. It follows
// the running answer instead of paying for another prefill.
test('a repeat at another entry follows the running answer', async () => {
  const {site, callers, outcomeOf, prefills} = createBed();
  callers.schedule(draft);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 160});
  await site.clock.advance(2_000);
  assert.equal(outcomeOf('treasurer')?.kind, 'whole');
  assert.equal(outcomeOf('again')?.kind, 'whole');
  assert.equal(prefills(), 1);
});

// The entry that writes the draft dies half way. The repeat at another entry,
// which was following it, goes on by itself from the last token it has.
test('a repeat goes on by itself when the entry it follows dies', async () => {
  const {site, callers, outcomeOf} = createBed();
  callers.schedule(draft);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 160});
  await site.clock.advance(200);
  site.killEntry(0);
  await site.clock.advance(3_000);
  assert.equal(outcomeOf('again')?.kind, 'whole');
});

test('a key used with another prompt is a conflict', async () => {
  const {site, callers, outcomeOf} = createBed();
  callers.schedule(draft);
  callers.schedule({
    ...draft,
    id: 'year-2024',
    sender: 'other',
    entryIndex: 1,
    atMs: 160,
  });
  await site.clock.advance(2_000);
  const outcome = outcomeOf('other');
  assert.equal(
    outcome?.kind === 'failed' && outcome.error.kind,
    'key-conflict',
  );
});

// A caller who is not to be kept hangs up in the middle of the answer. The
// engines have their memory back at once, not when the answer would have ended.
test('a caller who hangs up frees the engines at once', async () => {
  const {site, callers} = createBed();
  callers.schedule({
    ...draft,
    kind: 'model',
    key: undefined,
    hangUpAfterMs: 60,
  });
  await site.clock.advance(170);
  const held = [...site.prefill, ...site.decode].flatMap(
    engine => engine.books().sessions,
  );
  assert.deepEqual(held, []);
  assert.equal(site.home.openGrants(), 0);
});
