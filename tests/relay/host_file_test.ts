import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import fc from 'fast-check';
import {boundRules, type BoundName} from '../../src/relay/relay_bounds.js';
import {
  readJsonRelaySettings,
  type UsableSettings,
} from '../../src/relay/relay_settings.js';
import {readRelaySettings} from '../../src/relay/relay_settings_reader.js';
import {
  renderHostFile,
  type TemplateValues,
} from '../support/host_file_template.js';

const SECONDS = 1_000;

/** Which bound of the platform sets which setting, and by what factor. */
const BOUNDS: Readonly<Record<string, readonly [BoundName, number]>> = {
  'bounds.grace_s': ['leaveGraceMs', SECONDS],
  'bounds.lease_ms': ['leaseMs', 1],
  'bounds.retry_ratio': ['retryRatio', 1],
  'bounds.retry_slack': ['retrySlack', 1],
  'bounds.retry_window_s': ['retryWindowMs', SECONDS],
  'bounds.quota_slack': ['limitSlack', 1],
  'bounds.config_ms': ['configurationReachMs', 1],
  'bounds.drain_ms': ['departureReachMs', 1],
};

const WHOLE: TemplateValues = {
  'bounds.grace_s': '8',
  'bounds.lease_ms': '3000',
  'bounds.retry_ratio': '0.2',
  'bounds.retry_slack': '58',
  'bounds.retry_window_s': '10',
};

/** The ways in which a platform may write a number. */
const FORMS: ReadonlyArray<(value: number) => string> = [
  value => String(value),
  value => value.toFixed(1),
  value => value.toFixed(3),
  value => value.toExponential(),
];

/** Reads the file by the short reader, else by the full one. */
function read(values: TemplateValues): UsableSettings {
  const text = renderHostFile(values);
  const short = readJsonRelaySettings(text);
  const full = readRelaySettings({file: 'host.yaml', text});
  assert.ok(full.usable, JSON.stringify(full.diagnostics));
  if (short) assert.deepEqual(full.usable, short);
  return full.usable;
}

describe('a host file from the template', () => {
  // Guards against requests that are cut since a bound is read in another unit.
  for (const [path, [name, factor]] of Object.entries(BOUNDS)) {
    test(`any form of ${path} has the same meaning`, () => {
      fc.assert(
        fc.property(
          fc.double({min: 1, max: 60, noNaN: true}),
          fc.constantFrom(...FORMS),
          (value, write) => {
            const text = write(value);
            const {settings, issues} = read({...WHOLE, [path]: text});
            assert.equal(settings[name], Number(text) * factor);
            const replaced = issues.filter(({used}) => used !== settings[name]);
            assert.deepEqual(replaced, []);
          },
        ),
        {seed: 84},
      );
    });
  }

  for (const grace of ['7.5', '8.0', '12.75', '.5e1', '+6']) {
    test(`a grace of ${grace} s is that long`, () => {
      const {settings, issues} = read({...WHOLE, 'bounds.grace_s': grace});
      assert.equal(settings.leaveGraceMs, Number(grace) * SECONDS);
      assert.deepEqual(issues, []);
    });
  }

  // Guards against a deployment without some bound on which no host starts.
  for (const path of Object.keys(WHOLE)) {
    test(`a host serves without ${path}, and reports it`, () => {
      const [name] = BOUNDS[path];
      const rest = Object.entries(WHOLE).filter(([each]) => each !== path);
      const {settings, issues} = read(Object.fromEntries(rest));
      assert.equal(settings[name], boundRules[name].substitute);
      assert.deepEqual(
        issues.map(({setting, reason}) => [setting, reason]),
        [[name, 'It is missing.']],
      );
    });
  }

  test('a withdrawal that is not strict sets no limit', () => {
    const strict = {'bounds.strict_revoke': 'true'};
    const revoke = {'bounds.revoke_ms': '1500.5'};
    const withdrawalMs = (values: TemplateValues) =>
      read({...WHOLE, ...values}).settings.keyWithdrawalMs;
    assert.equal(withdrawalMs({...strict, ...revoke}), 1_500.5);
    assert.equal(withdrawalMs(strict), undefined);
    assert.equal(withdrawalMs(revoke), undefined);
    const lax = {'bounds.strict_revoke': 'false'};
    assert.equal(withdrawalMs({...lax, ...revoke}), undefined);
  });

  // Guards against hosts that go by a value that nobody can mean, or don't start.
  const MEANINGLESS: ReadonlyArray<readonly [string, string, number]> = [
    ['bounds.grace_s', '0', 8_000],
    ['bounds.grace_s', '0.0075', 8_000],
    ['bounds.grace_s', '-8', 8_000],
    ['bounds.grace_s', 'true', 8_000],
    ['bounds.grace_s', '1e300', 8_000],
    ['bounds.grace_s', '"8 s"', 8_000],
    ['bounds.lease_ms', '0', 10_000],
    ['bounds.lease_ms', '250', 250],
    ['bounds.config_ms', '1000', 1_000],
    ['bounds.drain_ms', '400', 400],
    ['bounds.retry_ratio', '-0.2', 0.1],
    ['bounds.retry_window_s', '0', 10_000],
    ['bounds.retry_slack', 'null', 0],
  ];
  for (const [path, text, used] of MEANINGLESS) {
    test(`a host serves with ${path} = ${text}, and reports it`, () => {
      const {settings, issues} = read({...WHOLE, [path]: text});
      assert.equal(settings[BOUNDS[path][0]], used);
      assert.equal(issues.length, 1);
      assert.equal(issues[0].used, used);
    });
  }

  test('a duration that is given in both units is reported', () => {
    const text = renderHostFile(WHOLE).replace('{', '{"leaveGraceMs": 4000,');
    const usable = readJsonRelaySettings(text);
    assert.match(usable!.issues[0].reason, /both in ms and in s/);
  });
});
