import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import {test} from 'node:test';
import {createUdpDatagramPort} from '../../src/adapters/udp_datagram.js';
import {findFreeAddress} from '../support/free_address.js';

test('a datagram to an address that is none is dropped', async t => {
  // Guards against a process that ends at an address which a peer passed on.
  const port = await createUdpDatagramPort(await findFreeAddress(), error =>
    assert.fail(error),
  );
  const receiver = createSocket('udp4').bind(0, '127.0.0.1');
  t.after(() => {
    port.close();
    receiver.close();
  });
  await once(receiver, 'listening');
  const received = once(receiver, 'message');
  for (const address of ['', 'host-1', '10.0.0.1', '10.0.0.1:65536']) {
    assert.doesNotThrow(() => port.send(address, Buffer.from('lost')), address);
  }
  port.send(`127.0.0.1:${receiver.address().port}`, Buffer.from('sound'));
  const [payload] = (await received) as [Buffer];
  assert.equal(payload.toString(), 'sound');
});
