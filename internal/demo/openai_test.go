package demo

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func client(d *Demo, organisation string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(d.Description.Callers[0]+"/v1"),
		option.WithAPIKey(d.Description.Keys[organisation]),
		option.WithMaxRetries(0),
	)
}

var chatParams = openai.ChatCompletionNewParams{
	Model:    "label-2b",
	Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("what does label 3 mean")},
}

func TestOpenAIClientWithoutStream(t *testing.T) {
	is := is.New(t)
	d := start(t)
	c := client(d, "setubal-depot")
	answer, err := c.Chat.Completions.New(context.Background(), chatParams)
	is.NoErr(err)
	is.Equal(len(answer.Choices), 1)
	is.True(answer.Choices[0].Message.Content != "")
	is.True(answer.Usage.CompletionTokens > 0)
}

func TestOpenAIClientStream(t *testing.T) {
	is := is.New(t)
	d := start(t)
	c := client(d, "setubal-depot")
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams)
	var events int
	var text string
	for stream.Next() {
		events++
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.True(events > 5)
	whole, err := c.Chat.Completions.New(context.Background(), chatParams)
	is.NoErr(err)
	is.True(text != "")
	is.True(whole.Choices[0].Message.Content != "")
}

func TestOpenAIClientListsModels(t *testing.T) {
	is := is.New(t)
	d := start(t)
	c := client(d, "setubal-depot")
	page, err := c.Models.List(context.Background())
	is.NoErr(err)
	is.Equal(len(page.Data), 2)
}

func TestOpenAIClientUnknownModel(t *testing.T) {
	is := is.New(t)
	d := start(t)
	c := client(d, "setubal-depot")
	unknown := chatParams
	unknown.Model = "no-such-model"
	_, err := c.Chat.Completions.New(context.Background(), unknown)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, 404)
	is.Equal(refused.Type, "unknown_model")
}
