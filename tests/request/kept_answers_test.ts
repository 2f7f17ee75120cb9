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

function createFixture() {
  const site = createRequestSite(1, noMutant);
  const callers = createSiteCallers(site, () => {});
  const outcomeOf = (sender: string) =>
    callers.records().find(record => record.spec.sender === sender)
      ?.outcomes[0];
  const prefills = () =>
    site.prefill.reduce((sum, each) => sum + each.stats().prefillsFinished, 0);
  return {site, callers, outcomeOf, prefills};
}

// A caller's connection breaks during a patient request, which is completed
// all the same. A repeat with the key at another entry, after the first entry
// has died, must get the answer without a second run.
test('a finished draft survives the loss of its connection and entry', async () => {
  const {site, callers, outcomeOf, prefills} = createFixture();
  callers.schedule({...draft, hangUpAfterMs: 60});
  await site.clock.advance(1_500);
  site.killEntry(0);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 0});
  await site.clock.advance(1_000);
  assert.equal(outcomeOf('again')?.kind, 'whole');
  assert.equal(prefills(), 1);
});

// A repeat reaches a second entry while the request runs at the first. It must
// follow the running answer instead of computing another prefill.
test('a repeat at another entry follows the running answer', async () => {
  const {site, callers, outcomeOf, prefills} = createFixture();
  callers.schedule(draft);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 160});
  await site.clock.advance(2_000);
  assert.equal(outcomeOf('treasurer')?.kind, 'whole');
  assert.equal(outcomeOf('again')?.kind, 'whole');
  assert.equal(prefills(), 1);
});

// An entry dies in the middle of an answer that a repeat at another entry
// follows. The repeat must continue by itself from its last token.
test('a repeat continues by itself when the entry it follows dies', async () => {
  const {site, callers, outcomeOf} = createFixture();
  callers.schedule(draft);
  callers.schedule({...draft, sender: 'again', entryIndex: 1, atMs: 160});
  await site.clock.advance(200);
  site.killEntry(0);
  await site.clock.advance(3_000);
  assert.equal(outcomeOf('again')?.kind, 'whole');
});

test('a key used with another prompt is a conflict', async () => {
  const {site, callers, outcomeOf} = createFixture();
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

// A caller of an interactive request hangs up in the middle of the answer. The
// engines must free its memory at once, not when the answer would have ended.
test('a caller who hangs up frees the engines at once', async () => {
  const {site, callers} = createFixture();
  callers.schedule({
    ...draft,
    kind: 'model',
    key: undefined,
    hangUpAfterMs: 60,
  });
  await site.clock.advance(170);
  const held = [...site.prefill, ...site.decode].flatMap(
    engine => engine.stats().sessions,
  );
  assert.deepEqual(held, []);
  assert.equal(site.home.openGrantCount(), 0);
});
