/** Registers the services that this process offers to peers and operators. */

import type {ConnectRouter} from '@connectrpc/connect';
import {
  createAnswerIndexService,
  createAnswerPeerService,
} from '../adapters/peer_answers.js';
import {createHomeService} from '../adapters/peer_grants.js';
import {createJournalService} from '../adapters/peer_journal.js';
import {
  AnswerIndex,
  AnswerPeer,
  ConfigurationPeer,
  Home,
  Journal,
  Operator,
  RequestPeer,
} from '../generated/corianderbend/peer_pb.js';
import type {AnswersHost} from './answers_host.js';
import {
  createConfigurationPeerService,
  type ConfigurationHost,
} from './configuration_host.js';
import type {GrantsHost} from './grants_host.js';
import type {JournalHost} from './journal_host.js';
import {createRequestPeerService} from './owner_state_lookup.js';
import {createOperatorService} from './operator_service.js';

export interface PeerServiceParts {
  readonly answers: AnswersHost;
  readonly configuration: ConfigurationHost;
  readonly grants: GrantsHost;
  readonly journal: JournalHost;
  isRequestRunning(requestId: string): boolean;
  readStatus(): unknown;
  startDrain(boundMs: number): void;
}

export function addPeerServices(
  router: ConnectRouter,
  parts: PeerServiceParts,
): void {
  const {answers, configuration, grants, journal} = parts;
  const {keeper} = configuration;
  router.service(Home, createHomeService(grants.homes.find));
  router.service(
    Journal,
    createJournalService(request =>
      journal.findOwner(journal.partitionOf(request)),
    ),
  );
  router.service(
    AnswerIndex,
    createAnswerIndexService(() => answers.ownIndex),
  );
  router.service(
    AnswerPeer,
    createAnswerPeerService(answers.keptAnswers.serveRead),
  );
  router.service(RequestPeer, createRequestPeerService(parts.isRequestRunning));
  router.service(ConfigurationPeer, createConfigurationPeerService(keeper));
  router.service(Operator, createOperatorService({...parts, keeper}));
}
